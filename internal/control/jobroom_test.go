package control

import (
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// TestJobsWithoutOutcomeMayBeTaken: a job whose proposal had no outcome must not be refused as not taken until a later entry is
// applied, which settles it.
func TestJobsWithoutOutcomeMayBeTaken(t *testing.T) {
	room := newJobCapacity()
	room.beginProposal("lost")
	if !room.mayBeApplied("lost") || room.mayBeApplied("other") {
		t.Fatal("only what is under way may be taken")
	}
	room.endProposal("lost", consensus.ErrUnknownOutcome)
	room.beginProposal("refused")
	room.endProposal("refused", consensus.ErrOverloaded)
	if !room.mayBeApplied("lost") || room.mayBeApplied("refused") {
		t.Fatal("only what has no outcome may be taken")
	}
	room.beginProposal("later")
	room.endProposal("later", errors.New("its time is over"))
	room.beginProposal("applied")
	room.endProposal("applied", nil)
	if room.mayBeApplied("lost") || room.mayBeApplied("later") || len(room.proposing) > 0 {
		t.Fatal("an applied entry settles those before")
	}
}

// TestLedgerGroupsDivideWhatNodesHold: all groups are on the same machines.
func TestLedgerGroupsDivideWhatNodesHold(t *testing.T) {
	const groups = 2
	c := startTunedCluster(t, func(config *Config) { config.DiskBytes, config.LedgerGroups = smallDisk, groups })
	leader := c.servers[c.ledgerLeader()]
	submit := &wire.JobSubmit{}
	eventually(t, "the level is in force", func() bool {
		if err := leader.setJobLimit(testContext(t), ledger, submit); err != nil {
			t.Fatal(err)
		}
		return submit.MostHeldBytes > 0
	})
	if want := uint64(smallDisk / 16 * jobDiskShare / groups); submit.MostHeldBytes != want {
		t.Errorf("a group may take %d bytes, want %d", submit.MostHeldBytes, want)
	}
}
