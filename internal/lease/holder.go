package lease

import "time"

// Unsafe disables safety steps. Only tests set it, to show that their checks detect the resulting faults.
type Unsafe struct {
	SkipLeaseCheck    bool // Holder.Admit ignores that the lease has ended
	SkipNewLeaderWait bool // a new Granter does not wait for the leases of its predecessor
	GrantAnyVersion   bool // a Granter renews the lease of a holder that acts on an old version
}

// Holder is the lease of one process that acts on the table. The zero value holds no lease.
type Holder struct {
	unsafe  Unsafe
	expires time.Duration
	granted bool
	version uint64
}

// NewHolder returns a Holder that has no lease and acts on version 0.
func NewHolder() *Holder { return &Holder{} }

// NewHolderUnsafe returns a Holder with the given safety steps disabled.
func NewHolderUnsafe(unsafe Unsafe) *Holder { return &Holder{unsafe: unsafe} }

// RecordRenewal records a granted renewal. sentAt is when this process sent the request, not when the reply arrived. A
// reply that arrives late or out of order never shortens the lease.
func (h *Holder) RecordRenewal(sentAt, duration time.Duration) {
	expires := sentAt + duration
	if !h.granted || expires > h.expires {
		h.granted, h.expires = true, expires
	}
}

// ActOn switches the holder to a table version. Once it has returned, Admit returns this version. The version may
// then be acknowledged in the next renewal, provided that every earlier admission has been dispatched or dropped. A
// version below the present one is ignored.
func (h *Holder) ActOn(version uint64) {
	if version > h.version {
		h.version = version
	}
}

// Version returns the table version that the holder acts on.
func (h *Holder) Version() uint64 { return h.version }

// Admit reports whether an action may be dispatched at now, and on which table version. Call it immediately before
// the dispatch: a process that was paused in between then finds that its lease has ended. If ok is false, the caller
// must not dispatch the request, which then certainly did not run.
func (h *Holder) Admit(now time.Duration) (version uint64, ok bool) {
	if h.unsafe.SkipLeaseCheck {
		return h.version, true
	}
	return h.version, h.granted && now < h.expires
}

// Remaining returns how long the lease lasts beyond now; 0 if it has ended.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.granted || now >= h.expires {
		return 0
	}
	return h.expires - now
}

// Expires returns the time at which the latest lease ends or ended; 0 before the first lease.
func (h *Holder) Expires() time.Duration { return h.expires }

// Drop ends the lease immediately, for a holder that leaves.
func (h *Holder) Drop() { h.granted = false }
