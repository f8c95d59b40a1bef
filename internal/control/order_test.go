package control

import (
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestSharesExistWhileLeasesAreGranted guards against grants without shares, which tell the holder that no resource is
// divided. A new leader must start the shares before the leases. A former leader must drop the shares before the
// leases, since the next term can begin as soon as the leases are gone.
func TestSharesExistWhileLeasesAreGranted(t *testing.T) {
	clock := func() time.Duration { return time.Hour }
	settings := lease.Settings{Lease: time.Second}
	server := &Server{leases: newLeases(clock, settings), shares: newShares(clock, settings, func(uint64) *wire.TableUpdate { return nil })}
	for _, step := range []struct {
		name    string
		do      func()
		divides bool // whether resources are divided while the step waits for the leases
	}{
		{"a term begins", func() { server.beginGranting(1) }, true},
		{"it ends", server.stopGranting, false},
		{"the next one begins", func() { server.beginGranting(2) }, true},
	} {
		done := make(chan struct{})
		server.leases.mutex.Lock()
		go func() { step.do(); close(done) }()
		eventually(t, step.name, func() bool { return (server.shares.usages() != nil) == step.divides })
		server.leases.mutex.Unlock()
		<-done
		if server.leases.leads(2) && server.shares.term != 2 || server.leases.leads(1) != (step.name == "a term begins") {
			t.Errorf("%s: leases and shares are not of the same term", step.name)
		}
	}
}
