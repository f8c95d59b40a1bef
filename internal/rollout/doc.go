// Package rollout decides which samples of which trainers are generated next. It is pure: it has no clock, goroutines
// or I/O. Times are arguments, measured from an arbitrary start on a monotonic clock. A Scheduler holds the state of
// all open steps of one pool. A Policy decides when the samples of a step may start and in which order. The same code
// runs in the coordinator and in experiments in virtual time.
//
// The caller must call FetchStarted, Released, Delivered, Progress, Finished, Interrupted and Discarded as these events
// happen, start the samples that Next returns, and stop those that PreemptionCandidates and Expired return.
package rollout
