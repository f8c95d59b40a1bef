package fairqueue

import (
	"math"
	"time"
)

// Usage tracks the recent work of owners as an exponentially decaying sum.
type Usage struct {
	halfLife time.Duration
	accounts map[string]account
}

// account is an owner's decayed work at the time of its last update.
type account struct {
	work      float64
	updatedAt time.Duration
}

const (
	// maxAccounts is the number of accounts from which Add first removes those with negligible work.
	maxAccounts = 1024
	// negligibleWork is the decayed work below which an account is removed. It is less than the least work of one
	// piece, which is 1.
	negligibleWork = 0.5
)

// NewUsage returns a Usage without any work. Work counts half after each half-life.
func NewUsage(halfLife time.Duration) *Usage {
	return &Usage{halfLife: halfLife, accounts: map[string]account{}}
}

// Add records work that an owner received at now.
func (u *Usage) Add(owner string, work float64, now time.Duration) {
	if len(u.accounts) >= maxAccounts {
		u.removeNegligible(now)
	}
	u.accounts[owner] = account{work: u.Work(owner, now) + work, updatedAt: now}
}

// Work returns the decayed work of an owner at now.
func (u *Usage) Work(owner string, now time.Duration) float64 {
	existing := u.accounts[owner]
	return existing.work * math.Exp2(-float64(now-existing.updatedAt)/float64(u.halfLife))
}

// removeNegligible removes the accounts with less than negligibleWork.
func (u *Usage) removeNegligible(now time.Duration) {
	for owner := range u.accounts {
		if u.Work(owner, now) < negligibleWork {
			delete(u.accounts, owner)
		}
	}
}
