package lease

import "time"

// Unsafe switches safety steps off. Only tests set it, to show that the checks find the fault.
type Unsafe struct {
	SkipLeaseCheck    bool // Holder.Admit ignores that the lease has ended
	SkipNewLeaderWait bool // a new Granter does not wait for the leases of its predecessor
	GrantAnyVersion   bool // a Granter renews the lease of a holder that acts on an old version
}

// Holder is the lease of one process that acts on the table. The zero value holds no lease.
type Holder struct {
	unsafe  Unsafe
	expires time.Duration
	held    bool
	version uint64
}

// NewHolder returns a Holder without a lease that acts on version 0.
func NewHolder() *Holder { return &Holder{} }

// NewHolderUnsafe returns a Holder with safety steps switched off.
func NewHolderUnsafe(unsafe Unsafe) *Holder { return &Holder{unsafe: unsafe} }

// Renewed notes a granted renewal: sentAt is when this process sent the request, not when the reply came.
// A reply that comes late or out of order never shortens the lease.
func (h *Holder) Renewed(sentAt, duration time.Duration) {
	expires := sentAt + duration
	if !h.held || expires > h.expires {
		h.held, h.expires = true, expires
	}
}

// ActOn moves the holder to a table version. From its return on, Admit names this version, so the version
// may be acknowledged in the next renewal if every earlier admission has been dispatched or dropped. A lower
// version than the present one is ignored.
func (h *Holder) ActOn(version uint64) {
	if version > h.version {
		h.version = version
	}
}

// Version returns the table version acted on.
func (h *Holder) Version() uint64 { return h.version }

// Admit says whether an action may be dispatched at now and on which table version. Ask at the very point
// of dispatch: a process that was paused in between then finds its lease ended. When ok is false the
// request did not run.
func (h *Holder) Admit(now time.Duration) (version uint64, ok bool) {
	if h.unsafe.SkipLeaseCheck {
		return h.version, true
	}
	return h.version, h.held && now < h.expires
}

// Remaining returns how long the lease goes on from now; 0 if it has ended.
func (h *Holder) Remaining(now time.Duration) time.Duration {
	if !h.held || now >= h.expires {
		return 0
	}
	return h.expires - now
}

// Expires returns when the last lease ends or has ended; 0 before the first one.
func (h *Holder) Expires() time.Duration { return h.expires }

// Drop ends the lease at once, for a holder that leaves.
func (h *Holder) Drop() { h.held = false }
