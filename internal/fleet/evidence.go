package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/gateway"
	"github.com/tamarindring/tamarindring/internal/invariant"
)

const (
	collectInterval = 300 * time.Millisecond
	// leaveBound is the promised time after which a leaving back end gets no new work.
	leaveBound = 3 * time.Second
)

// evidence is the data collected while the fleet runs, for checks of the invariants.
type evidence struct {
	table tableEvidence

	mutex    sync.Mutex
	lastRead map[*gateway.Server]uint64 // sequence of the last dispatch read of each
	leaves   []leave
}

// leave records that a back end, listed under the given rows, has left.
type leave struct {
	rows map[string]bool
	at   time.Time
}

// recordLeave records that the back end of the given rows has announced that it leaves.
func (e *evidence) recordLeave(at time.Time, rows ...string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	noted := leave{rows: map[string]bool{}, at: at}
	for _, row := range rows {
		noted.rows[row] = true
	}
	e.leaves = append(e.leaves, noted)
}

// collect reads the gateways' dispatch logs periodically until ctx ends, and once more after that.
func (f *fleet) collect(ctx context.Context) {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		f.collectDispatches()
		select {
		case <-ctx.Done():
			f.collectDispatches()
			return
		case <-ticker.C:
		}
	}
}

func (f *fleet) collectDispatches() {
	for _, part := range f.gateways {
		part.each(func(server *gateway.Server) {
			for _, dispatch := range f.evidence.nextDispatches(server) {
				f.examineDispatch(dispatch)
			}
		})
	}
}

func (e *evidence) nextDispatches(server *gateway.Server) []gateway.Dispatch {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.lastRead == nil {
		e.lastRead = map[*gateway.Server]uint64{}
	}
	found := server.Dispatches(e.lastRead[server])
	if len(found) > 0 {
		e.lastRead[server] = found[len(found)-1].Sequence
	}
	return found
}

// examineDispatch checks the table version on which a gateway acted, and that it sent no new work to a back end that
// had left.
func (f *fleet) examineDispatch(dispatch gateway.Dispatch) {
	required := f.evidence.table.requiredVersion(dispatch.At)
	f.registry.Examine(invariant.TableInForce, dispatch.TableVersion >= required,
		"%s sent a request to %s on version %d when version %d was in force", dispatch.Gateway, dispatch.Backend, dispatch.TableVersion, required)
	if dispatch.Kind == "resume" {
		return
	}
	f.evidence.mutex.Lock()
	defer f.evidence.mutex.Unlock()
	for _, gone := range f.evidence.leaves {
		if dispatch.At.Sub(gone.at) > leaveBound {
			f.registry.Examine(invariant.LeavingBackend, !gone.rows[dispatch.Backend],
				"%s sent new work to %s %s after it left", dispatch.Gateway, dispatch.Backend, dispatch.At.Sub(gone.at))
		}
	}
}
