package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// VersionReleased reports that the leader starts to roll out a named weight version to the back ends.
type VersionReleased struct {
	Model    string `json:"model" doc:"model that the weights belong to"`
	Version  uint64 `json:"version" doc:"number of the version"`
	Replicas int    `json:"replicas" doc:"number of back ends that hold the model"`
}

var versionReleasedKind = newKind("version_released", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*VersionReleased) Kind() *logging.Kind { return &versionReleasedKind }

// OrderSent reports an order to a back end to load a weight version.
type OrderSent struct {
	Replica string `json:"replica" doc:"the back end"`
	Model   string `json:"model" doc:"model that the weights belong to"`
	Version uint64 `json:"version" doc:"version to load"`
	Token   uint64 `json:"token" doc:"fencing token"`
	Loading int    `json:"loading" doc:"number of orders in progress, including this one"`
	Most    int    `json:"most" doc:"maximum number of orders in progress at the same time"`
	Waiting int    `json:"waiting" doc:"number of waiting orders"`
}

var orderSentKind = newKind("order_sent", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*OrderSent) Kind() *logging.Kind { return &orderSentKind }

// OrderEnded reports the end of an order to load a weight version.
type OrderEnded struct {
	Replica string  `json:"replica" doc:"the back end"`
	Model   string  `json:"model" doc:"model that the weights belong to"`
	Version uint64  `json:"version" doc:"version to load"`
	Token   uint64  `json:"token" doc:"fencing token"`
	Serving uint64  `json:"serving,omitempty" doc:"version that the back end serves now"`
	Cause   string  `json:"cause,omitempty" doc:"why the version was not loaded"`
	TookMs  float64 `json:"took_ms" doc:"time since the order was sent"`
}

var orderEndedKind = newKind("order_ended", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*OrderEnded) Kind() *logging.Kind { return &orderEndedKind }

// OrdersTaken reports that this node acquired the right to send orders.
type OrdersTaken struct {
	Token    uint64  `json:"token" doc:"fencing token"`
	Owner    string  `json:"before,omitempty" doc:"node that sent the orders until now"`
	WaitedMs float64 `json:"waited_ms" doc:"how long this node waited until the last orders of that node were over"`
}

var ordersTakenKind = newKind("orders_taken", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*OrdersTaken) Kind() *logging.Kind { return &ordersTakenKind }

// OrdersOffered reports that the leadership was offered to the node that sent the last orders.
type OrdersOffered struct {
	Owner string `json:"owner" doc:"node that sent the last orders"`
	Cause string `json:"cause,omitempty" doc:"why that node did not take the leadership"`
}

var ordersOfferedKind = newKind("orders_offered", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*OrdersOffered) Kind() *logging.Kind { return &ordersOfferedKind }

// OrdersSuperseded reports that another node has taken the right to send orders from this one.
type OrdersSuperseded struct {
	Token   uint64 `json:"token" doc:"fencing token that is no longer accepted"`
	Replica string `json:"replica" doc:"back end that rejected the token"`
}

var ordersSupersededKind = newKind("orders_superseded", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*OrdersSuperseded) Kind() *logging.Kind { return &ordersSupersededKind }

// ReplicasSurveyed reports that a new leader asked the replicas that it had not heard yet for their weight versions.
type ReplicasSurveyed struct {
	Asked    int     `json:"asked" doc:"number of replicas that were asked for their weight versions"`
	Answered int     `json:"answered" doc:"number of these replicas that answered"`
	TookMs   float64 `json:"took_ms" doc:"time from the first question to the last answer"`
}

var replicasSurveyedKind = newKind("replicas_surveyed", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicasSurveyed) Kind() *logging.Kind { return &replicasSurveyedKind }
