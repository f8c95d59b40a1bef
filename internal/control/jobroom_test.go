package control

import (
	"errors"
	"testing"

	"github.com/tamarindring/tamarindring/internal/consensus"
)

// TestJobsWithoutOutcomeMayBeTaken: a job whose proposal had no outcome must not be refused as not taken until a later entry is
// applied, which settles it.
func TestJobsWithoutOutcomeMayBeTaken(t *testing.T) {
	room := newJobRoom()
	room.begin("lost")
	if !room.mayBeTaken("lost") || room.mayBeTaken("other") {
		t.Fatal("only what is under way may be taken")
	}
	room.end("lost", consensus.ErrUnknownOutcome)
	room.begin("refused")
	room.end("refused", consensus.ErrOverloaded)
	if !room.mayBeTaken("lost") || room.mayBeTaken("refused") {
		t.Fatal("only what has no outcome may be taken")
	}
	room.begin("later")
	room.end("later", errors.New("its time is over"))
	room.begin("applied")
	room.end("applied", nil)
	if room.mayBeTaken("lost") || room.mayBeTaken("later") || len(room.underway) > 0 {
		t.Fatal("an applied entry settles those before")
	}
}
