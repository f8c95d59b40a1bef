package events

import (
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/logging"
)

// RequestAnswered reports that a request got a complete answer from a back end.
type RequestAnswered struct {
	Request      string  `json:"request" doc:"the caller's attempt id, or one that the gateway assigned if the caller sent none"`
	Key          string  `json:"key,omitempty" doc:"idempotency key"`
	Route        string  `json:"route,omitempty" doc:"route that matched"`
	RouteKind    string  `json:"route_kind,omitempty" doc:"what the route permits, such as idempotent"`
	Pool         string  `json:"pool,omitempty" doc:"pool that the request was sent to"`
	Replica      string  `json:"replica,omitempty" doc:"back end whose answer was returned"`
	Status       int     `json:"status,omitempty" doc:"status of the answer"`
	TableVersion uint64  `json:"table_version" doc:"version of the configuration table in use"`
	Sends        int     `json:"sends" doc:"number of back ends that the request was sent to"`
	TookMs       float64 `json:"took_ms" doc:"time since the request arrived"`
}

var requestAnsweredKind = newKind("request_answered", logrus.InfoLevel, requestRate)

// Kind implements logging.Event.
func (*RequestAnswered) Kind() *logging.Kind { return &requestAnsweredKind }

// RequestFailed reports that a request ended without a complete answer from a back end.
type RequestFailed struct {
	Request      string  `json:"request" doc:"the caller's attempt id, or one that the gateway assigned if the caller sent none"`
	Key          string  `json:"key,omitempty" doc:"idempotency key"`
	Method       string  `json:"method,omitempty" doc:"method of the request"`
	Host         string  `json:"host,omitempty" doc:"host of the request"`
	Path         string  `json:"path,omitempty" doc:"path of the request"`
	Route        string  `json:"route,omitempty" doc:"route that matched; absent if no route matched or there is no configuration"`
	RouteKind    string  `json:"route_kind,omitempty" doc:"what the route permits, such as idempotent"`
	Pool         string  `json:"pool,omitempty" doc:"pool that the request was last sent to"`
	Reason       string  `json:"reason" doc:"why the request ended"`
	Verdict      string  `json:"verdict" doc:"whether the request may have run"`
	RetryAfterMs float64 `json:"retry_after_ms,omitempty" doc:"delay after which the caller was asked to retry"`
	Cause        string  `json:"cause,omitempty" doc:"last error"`
	Digest       string  `json:"digest,omitempty" doc:"digest of the request that is the same when it is sent again under another id; present if the request may have run"`
	TableVersion uint64  `json:"table_version" doc:"version of the configuration table in use; 0 if none is known"`
	LeaseHeld    bool    `json:"lease_held" doc:"whether the lease on the configuration table was held at the end"`
	Sends        int     `json:"sends" doc:"number of back ends that the request was sent to"`
	DeadlineMs   float64 `json:"deadline_ms,omitempty" doc:"how long the caller waits"`
	TimeoutMs    float64 `json:"timeout_ms,omitempty" doc:"how long the route allows a request to be held"`
	TookMs       float64 `json:"took_ms" doc:"time since the request arrived"`
}

var requestFailedKind = newKind("request_failed", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*RequestFailed) Kind() *logging.Kind { return &requestFailedKind }

// AdmissionRefused reports that the queue in front of a pool's slots rejected a request, with the figures behind the
// decision. A RequestFailed event for the same request follows.
type AdmissionRefused struct {
	Request        string  `json:"request" doc:"the caller's attempt id, or one that the gateway assigned if the caller sent none"`
	Tenant         string  `json:"tenant,omitempty" doc:"tenant of the request; absent if anonymous"`
	Weight         uint32  `json:"weight,omitempty" doc:"weight of the tenant; absent if it is the default"`
	Class          string  `json:"class" doc:"priority class; lower classes go first"`
	Pool           string  `json:"pool" doc:"pool whose queue rejected the request"`
	Reason         string  `json:"reason" doc:"queue_full, wait_too_long, displaced, timed_out or no_slots"`
	Returned       bool    `json:"returned,omitempty" doc:"whether the request was rejected before and therefore went ahead of its tenant's new requests"`
	Slots          int     `json:"slots" doc:"number of requests that this process may have in flight"`
	Reach          int     `json:"reach" doc:"number of slots from which the wait was estimated; above slots while this process's share may grow"`
	InFlight       int     `json:"in_flight" doc:"requests of this process that are in flight to the pool"`
	Waiting        int     `json:"waiting" doc:"requests waiting at this process"`
	Ahead          float64 `json:"ahead" doc:"number of waiting requests that were expected to go before this one"`
	ServiceMs      float64 `json:"service_ms,omitempty" doc:"usual time for which a request holds its slot; absent if too few have ended"`
	ExpectedWaitMs float64 `json:"expected_wait_ms,omitempty" doc:"expected wait for a slot"`
	AllowedMs      float64 `json:"allowed_ms" doc:"time that the request could still have waited"`
	RetryAfterMs   float64 `json:"retry_after_ms,omitempty" doc:"delay after which the caller was asked to retry"`
}

var admissionRefusedKind = newKind("admission_refused", logrus.InfoLevel, failureRate)

// Kind implements logging.Event.
func (*AdmissionRefused) Kind() *logging.Kind { return &admissionRefusedKind }

// RequestRefused reports that a request was rejected before it was matched with a route, because it can't be read or
// is too large.
type RequestRefused struct {
	Request string `json:"request,omitempty" doc:"the caller's attempt id"`
	Method  string `json:"method,omitempty" doc:"method of the request"`
	Path    string `json:"path,omitempty" doc:"path of the request"`
	Status  int    `json:"status" doc:"status returned to the caller"`
	Cause   string `json:"cause,omitempty" doc:"what is wrong with the request"`
}

var requestRefusedKind = newKind("request_refused", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*RequestRefused) Kind() *logging.Kind { return &requestRefusedKind }

// RequestPanicked reports that the work for a request panicked. The request failed, and the process goes on.
type RequestPanicked struct {
	Request string `json:"request,omitempty" doc:"id of the request or item"`
	Place   string `json:"place" doc:"what was done for the request"`
	Value   string `json:"value" doc:"what the panic says"`
	Stack   string `json:"stack" doc:"stack of the goroutine, cut to its beginning"`
}

var requestPanickedKind = newKind("request_panicked", logrus.ErrorLevel, rareRate)

// Kind implements logging.Event.
func (*RequestPanicked) Kind() *logging.Kind { return &requestPanickedKind }

// AttemptFailed reports that one send of a request brought no complete answer.
type AttemptFailed struct {
	Request       string  `json:"request" doc:"the caller's attempt id"`
	Attempt       int     `json:"attempt" doc:"number of the send, from 1"`
	Pool          string  `json:"pool" doc:"pool of the back end"`
	Replica       string  `json:"replica" doc:"back end that the request was sent to"`
	TableVersion  uint64  `json:"table_version" doc:"version of the configuration table that the back end was chosen from"`
	Refused       string  `json:"refused,omitempty" doc:"why the request did not run there: full, wrong_target or unreachable"`
	Status        int     `json:"status,omitempty" doc:"status that the back end returned; absent if no answer came"`
	Verdict       string  `json:"verdict" doc:"whether the request may have run there"`
	Health        string  `json:"health" doc:"what the attempt says about the back end's health: good, neutral, slow, bad or leaving"`
	Cause         string  `json:"cause,omitempty" doc:"how the attempt ended"`
	Digest        string  `json:"digest,omitempty" doc:"digest of the request that is the same when it is sent again under another id; present if the request may have run"`
	Peer          string  `json:"peer,omitempty" doc:"whether the back end still listens after its connection broke off: listening or gone (it crashed)"`
	Running       int     `json:"running" doc:"number of this process's requests running at the back end when it was chosen"`
	ReportRunning int     `json:"report_running,omitempty" doc:"number of running requests that the back end reports"`
	ReportWaiting int     `json:"report_waiting,omitempty" doc:"number of waiting requests that the back end reports"`
	ReportedSlots int     `json:"reported_slots,omitempty" doc:"number of slots that the back end reports; absent if it reported nothing"`
	PassedOn      bool    `json:"passed_on,omitempty" doc:"whether a part of the answer was passed on to the caller"`
	TookMs        float64 `json:"took_ms" doc:"time since the request was sent"`
	RequestLeftMs float64 `json:"request_left_ms" doc:"time left for the request"`
	MostSends     int     `json:"most_sends,omitempty" doc:"maximum number of sends that the route permits"`
}

var attemptFailedKind = newKind("attempt_failed", logrus.InfoLevel, failureRate)

// Kind implements logging.Event.
func (*AttemptFailed) Kind() *logging.Kind { return &attemptFailedKind }

// AttemptHedged reports that a request is sent to a second back end because the first has not started to answer.
type AttemptHedged struct {
	Request string  `json:"request" doc:"the caller's attempt id"`
	First   string  `json:"first" doc:"back end that has not begun to answer"`
	Second  string  `json:"second" doc:"back end that the request is also sent to"`
	AfterMs float64 `json:"after_ms" doc:"how long the process waited for the first back end"`
}

var attemptHedgedKind = newKind("attempt_hedged", logrus.InfoLevel, failureRate)

// Kind implements logging.Event.
func (*AttemptHedged) Kind() *logging.Kind { return &attemptHedgedKind }

// RetryRefused reports that a request was not retried or hedged because the retry budget of its pool is used up.
type RetryRefused struct {
	Request   string  `json:"request" doc:"the caller's attempt id"`
	Send      string  `json:"send" doc:"retry (after a failure) or hedge (in parallel to a slow first send)"`
	Pool      string  `json:"pool" doc:"pool whose retry budget is used up"`
	Replica   string  `json:"replica" doc:"back end that failed or is slow"`
	InFlight  int     `json:"in_flight" doc:"requests of this process that are in flight to the pool"`
	Permitted float64 `json:"permitted" doc:"sends that the retry budget held; it was below 1, and each send needs 1"`
	Most      float64 `json:"most" doc:"sends that the budget holds when it is full"`
}

var retryRefusedKind = newKind("retry_refused", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*RetryRefused) Kind() *logging.Kind { return &retryRefusedKind }

// ReplicaQuarantined reports that a back end gets no requests for a while because requests failed there.
type ReplicaQuarantined struct {
	Pool     string  `json:"pool" doc:"pool of the back end"`
	Replica  string  `json:"replica" doc:"the back end"`
	Request  string  `json:"request,omitempty" doc:"request that failed last"`
	Health   string  `json:"health" doc:"kind of the last failure: slow, bad or leaving"`
	LengthMs float64 `json:"length_ms,omitempty" doc:"length of the quarantine; it doubles with each consecutive one"`
	InRow    int     `json:"in_row,omitempty" doc:"number of consecutive quarantines"`
}

var replicaQuarantinedKind = newKind("replica_quarantined", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicaQuarantined) Kind() *logging.Kind { return &replicaQuarantinedKind }

// LargeBodyCrash reports that a back end crashed while it held large bodies of this process.
type LargeBodyCrash struct {
	Pool          string `json:"pool" doc:"pool of the back end"`
	Replica       string `json:"replica" doc:"the back end"`
	Request       string `json:"request" doc:"one of the requests that it held"`
	HeldBytes     int64  `json:"held_bytes" doc:"bytes of this process's large bodies that it held"`
	Bodies        int    `json:"bodies" doc:"number of these bodies"`
	AnsweredBytes int64  `json:"answered_bytes,omitempty" doc:"largest sum of large bodies that a back end of the pool held when it answered"`
	LimitBytes    int64  `json:"limit_bytes" doc:"limit, from now on, for the large bodies that a back end of the pool gets at the same time"`
	BySum         bool   `json:"by_sum,omitempty" doc:"whether the sum of the bodies counts as the cause, so that none of the requests is suspected; otherwise each of them is"`
}

var largeBodyCrashKind = newKind("large_body_crash", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*LargeBodyCrash) Kind() *logging.Kind { return &largeBodyCrashKind }

// ReplicaRestored reports that a back end counts as healthy again after quarantines.
type ReplicaRestored struct {
	Pool    string `json:"pool" doc:"pool of the back end"`
	Replica string `json:"replica" doc:"the back end"`
}

var replicaRestoredKind = newKind("replica_restored", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ReplicaRestored) Kind() *logging.Kind { return &replicaRestoredKind }

// ShareShort reports that requests wait at a gateway because its share of a pool's slots is in use. Its rate is limited
// for each pool.
type ShareShort struct {
	Pool      string `json:"pool" doc:"pool whose slots are divided between the gateways"`
	Share     int    `json:"share" doc:"slots that this gateway may use"`
	PoolSlots int    `json:"pool_slots" doc:"slots of the whole pool"`
	InFlight  int    `json:"in_flight" doc:"number of requests of this gateway that hold a slot"`
	Waiting   int    `json:"waiting" doc:"number of requests that wait at this gateway for a slot"`
}

var shareShortKind = newKind("share_short", logrus.InfoLevel, changeRate)

// Kind implements logging.Event.
func (*ShareShort) Kind() *logging.Kind { return &shareShortKind }

// LoadReportUnreadable reports that a back end's load report can't be read. Its answers are routed as if there were
// no report.
type LoadReportUnreadable struct {
	Replica string `json:"replica" doc:"back end that sent the report"`
	Text    string `json:"report" doc:"beginning of the report"`
	More    int    `json:"more,omitempty" doc:"number of further unreadable reports at this process since the last such line, from any back end"`
}

var loadReportUnreadableKind = newKind("load_report_unreadable", logrus.WarnLevel, changeRate)

// Kind implements logging.Event.
func (*LoadReportUnreadable) Kind() *logging.Kind { return &loadReportUnreadableKind }

// CallerCut reports that a caller's connection was closed because the caller did not read its answer.
type CallerCut struct {
	Request     string  `json:"request,omitempty" doc:"the caller's attempt id of the first answer that was not sent completely"`
	Caller      string  `json:"caller" doc:"address of the caller's connection"`
	Cause       string  `json:"cause" doc:"still (the caller read nothing for a long time), blocked (an answer waited for the caller) or shed (buffer space was short and this caller had read nothing for the longest time)"`
	UnsentBytes int64   `json:"unsent_bytes" doc:"bytes held for the caller"`
	StillMs     float64 `json:"still_ms" doc:"time without progress in sending to the caller"`
}

var callerCutKind = newKind("caller_cut", logrus.WarnLevel, failureRate)

// Kind implements logging.Event.
func (*CallerCut) Kind() *logging.Kind { return &callerCutKind }
