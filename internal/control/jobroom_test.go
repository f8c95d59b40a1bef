package control

import (
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestJobWithoutOutcomeMayBeApplied guards against rejecting a job as not accepted while its earlier proposal has no
// known outcome. A later applied entry settles it.
func TestJobWithoutOutcomeMayBeApplied(t *testing.T) {
	room := newJobCapacity()
	room.beginProposal("lost")
	if !room.mayBeApplied("lost") || room.mayBeApplied("other") {
		t.Fatal("want only the job being proposed to be possibly applied")
	}
	room.endProposal("lost", consensus.ErrUnknownOutcome)
	room.beginProposal("refused")
	room.endProposal("refused", consensus.ErrOverloaded)
	if !room.mayBeApplied("lost") || room.mayBeApplied("refused") {
		t.Fatal("want only the job without an outcome to be possibly applied")
	}
	room.beginProposal("later")
	room.endProposal("later", errors.New("its time is over"))
	room.beginProposal("applied")
	room.endProposal("applied", nil)
	if room.mayBeApplied("lost") || room.mayBeApplied("later") || len(room.proposing) > 0 {
		t.Fatal("want no unresolved jobs after an applied entry")
	}
}

// TestLedgerGroupsDivideJobBytes guards against every ledger group using the full capacity of the nodes: all groups are
// on the same machines.
func TestLedgerGroupsDivideJobBytes(t *testing.T) {
	const groups = 2
	c := startConfiguredCluster(t, func(config *Config) { config.DiskBytes, config.LedgerGroups = smallDisk, groups })
	leader := c.servers[c.ledgerLeader()]
	submit := &wire.JobSubmit{}
	eventually(t, "the level is in force", func() bool {
		if err := leader.setJobLimit(testContext(t), ledger, submit); err != nil {
			t.Fatal(err)
		}
		return submit.MostHeldBytes > 0
	})
	if want := uint64(smallDisk / 16 * jobDiskShare / groups); submit.MostHeldBytes != want {
		t.Errorf("got a job limit of %d bytes per group, want %d", submit.MostHeldBytes, want)
	}
}
