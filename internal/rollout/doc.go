// Package rollout decides which samples of which trainers are generated next. It is pure: it has no
// clock, goroutine or I/O; time is an argument (since an arbitrary start, monotonic). A Scheduler keeps
// the state of all open steps of one pool; a Policy decides when a step's samples may start and in which
// order. The same code runs in the coordinator and in experiments in virtual time.
//
// The runtime's duties: call Wanted, Released, Delivered, Progress, Finished, Interrupted and Discarded as
// these things happen, start what Next returns, and stop what Yield and Expired return.
package rollout
