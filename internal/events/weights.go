package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// VersionReleased is a named weight version that the leader begins to bring to the back ends.
type VersionReleased struct {
	Model    string `json:"model" doc:"whose weights"`
	Version  uint64 `json:"version" doc:"number of the version"`
	Replicas int    `json:"replicas" doc:"back ends that hold the model"`
}

var versionReleasedKind = kind("version_released", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*VersionReleased) Kind() *logging.Kind { return &versionReleasedKind }

// OrderSent is an order to a back end to load a version.
type OrderSent struct {
	Replica string `json:"replica" doc:"the back end"`
	Model   string `json:"model" doc:"whose weights"`
	Version uint64 `json:"version" doc:"version to load"`
	Token   uint64 `json:"token" doc:"fencing token"`
	Loading int    `json:"loading" doc:"orders under way, with this one"`
	Most    int    `json:"most" doc:"orders that may be under way"`
	Waiting int    `json:"waiting" doc:"orders that wait"`
}

var orderSentKind = kind("order_sent", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*OrderSent) Kind() *logging.Kind { return &orderSentKind }

// OrderEnded is the end of an order to load a version.
type OrderEnded struct {
	Replica string  `json:"replica" doc:"the back end"`
	Model   string  `json:"model" doc:"whose weights"`
	Version uint64  `json:"version" doc:"version to load"`
	Token   uint64  `json:"token" doc:"fencing token"`
	Serving uint64  `json:"serving,omitempty" doc:"version that the back end serves now"`
	Cause   string  `json:"cause,omitempty" doc:"why it was not loaded"`
	TookMs  float64 `json:"took_ms" doc:"time from the order"`
}

var orderEndedKind = kind("order_ended", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*OrderEnded) Kind() *logging.Kind { return &orderEndedKind }

// OrdersTaken is the right to send orders, which this node has got.
type OrdersTaken struct {
	Token    uint64  `json:"token" doc:"fencing token"`
	Owner    string  `json:"before,omitempty" doc:"node that sent the orders before"`
	WaitedMs float64 `json:"waited_ms" doc:"how long that one's last orders were waited out"`
}

var ordersTakenKind = kind("orders_taken", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*OrdersTaken) Kind() *logging.Kind { return &ordersTakenKind }

// OrdersOffered is a leadership that was offered to the node which sent the last orders.
type OrdersOffered struct {
	Owner string `json:"owner" doc:"that node"`
	Cause string `json:"cause,omitempty" doc:"why it did not take it"`
}

var ordersOfferedKind = kind("orders_offered", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*OrdersOffered) Kind() *logging.Kind { return &ordersOfferedKind }

// OrdersSuperseded is a right to send orders that another node has taken.
type OrdersSuperseded struct {
	Token   uint64 `json:"token" doc:"fencing token that is no longer accepted"`
	Replica string `json:"replica" doc:"back end that said so"`
}

var ordersSupersededKind = kind("orders_superseded", logrus.WarnLevel, perChange)

// Kind implements logging.Event.
func (*OrdersSuperseded) Kind() *logging.Kind { return &ordersSupersededKind }

// ReplicasSurveyed is a new leader's questions to replicas that it had not heard yet.
type ReplicasSurveyed struct {
	Asked    int     `json:"asked" doc:"replicas that were asked for their weight versions"`
	Answered int     `json:"answered" doc:"of these, the ones that told them"`
	TookMs   float64 `json:"took_ms" doc:"time from the first question to the last answer"`
}

var replicasSurveyedKind = kind("replicas_surveyed", logrus.InfoLevel, perChange)

// Kind implements logging.Event.
func (*ReplicasSurveyed) Kind() *logging.Kind { return &replicasSurveyedKind }
