package consensus

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/tamarindring/tamarindring/internal/raft"
	"github.com/tamarindring/tamarindring/internal/storage"
)

// Host runs the raft nodes of all groups of one process.
type Host struct {
	config   Config
	inbox    *inbox
	book     *addressBook
	peers    *peerSet
	contacts *contacts
	silences *silences
	// partsAgreed: a node that sent a snapshot has told that SnapshotParts is in force. Levels never fall.
	partsAgreed atomic.Bool

	// Owned by the loop.
	groups    []*hostedGroup
	groupByID map[uint32]*hostedGroup
	writer    *writer
	nextWrite []*hostedGroup // groups with work for the next write
	inWrite   []*hostedGroup // groups of the write in progress
	proposed  int            // proposals taken since the last write began
	room      storage.Room
	encoded   chan *encodedState // has room for one of each group
	encoders  sync.WaitGroup     // goroutines that encode a state or read one

	ctx    context.Context // ends with the host
	cancel context.CancelFunc
	done   chan struct{} // closed when Run has returned
	once   sync.Once
	failed chan error // a cause to stop found outside the loop
}

// New loads all groups from the store. It founds them at the first start, unless the node joins.
func New(config Config) (*Host, error) {
	config.setDefaults()
	if err := config.check(); err != nil {
		return nil, err
	}
	nonce := rand.Uint64()
	book, err := newAddressBook(&config)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	host := &Host{
		config:    config,
		inbox:     newInbox(config.MaxPendingProposals),
		book:      book,
		contacts:  newContacts(time.Now()),
		silences:  newSilences(config.NodeID, 0),
		groupByID: map[uint32]*hostedGroup{},
		writer:    newWriter(config.Store),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		failed:    make(chan error, 1),
		encoded:   make(chan *encodedState, len(config.Groups)),
	}
	host.peers = newPeerSet(host, nonce)
	if err := host.found(); err != nil {
		cancel()
		return nil, err
	}
	for _, id := range config.Groups {
		if err := host.loadGroup(id); err != nil {
			cancel()
			return nil, err
		}
	}
	host.requireKnown()
	return host, nil
}

// found writes the first configuration of all groups into an empty store: from then on the stored
// membership counts, never the settings.
func (h *Host) found() error {
	known, err := h.config.Store.Groups()
	if err != nil {
		return err
	}
	if len(known) > 0 {
		return h.checkFounded(known)
	}
	var configuration raft.Configuration
	if !h.config.Join {
		for _, peer := range h.config.Peers {
			configuration.Voters = append(configuration.Voters, peer.ID)
		}
	}
	batch := make([]storage.GroupWrite, 0, len(h.config.Groups))
	for _, id := range h.config.Groups {
		batch = append(batch, storage.GroupWrite{Group: id, Snapshot: &raft.Snapshot{Configuration: configuration}})
	}
	return h.config.Store.Write(batch)
}

func (h *Host) checkFounded(known []uint32) error {
	stored := map[uint32]bool{}
	for _, id := range known {
		stored[id] = true
	}
	for _, id := range h.config.Groups {
		if !stored[id] {
			return trace.BadParameter("consensus: group %d is not in the data folder, which holds groups %v; "+
				"the number of groups is fixed at the first start", id, known)
		}
	}
	return nil
}

func (h *Host) loadGroup(id uint32) error {
	restored, err := h.config.Store.Load(id)
	if err != nil {
		return err
	}
	group, err := newGroup(&h.config, id, restored)
	if err != nil {
		return err
	}
	h.groups = append(h.groups, group)
	h.groupByID[id] = group
	return nil
}

// requireKnown makes a node that is new to all its groups wait until every voter knows its folder.
func (h *Host) requireKnown() {
	for _, group := range h.groups {
		if !group.cycle.Blank() || group.applied > 0 {
			return
		}
	}
	for _, group := range h.groups {
		h.book.requireKnown(group.node.Status().Configuration.Voters)
	}
}

// Run drives the host until ctx ends or Close is called (nil), or until it must stop: a failed write,
// a damaged state, or an *ErrRefused from a peer.
func (h *Host) Run(ctx context.Context) error {
	defer h.finish()
	running, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(h.ctx, func() { h.fail(nil) })
	defer stop()
	running.Go(func() error { return h.writer.run(ctx) })
	running.Go(func() error { return h.peers.run(ctx) })
	running.Go(func() error { return h.loop(ctx) })
	err := running.Wait()
	if err == errStopped {
		return nil
	}
	return err
}

// fail makes the loop end with err; nil is an orderly end.
func (h *Host) fail(err error) {
	if err == nil {
		err = errStopped
	}
	select {
	case h.failed <- err:
	default:
	}
}

// finish answers everybody who still waits.
func (h *Host) finish() {
	h.cancel()
	h.encoders.Wait()
	h.once.Do(func() { close(h.done) })
	h.inbox.close()
	for _, group := range h.groups {
		group.failPending(ErrUnknownOutcome)
		group.failReads(ErrClosed)
	}
}

// Close stops the host abruptly: what waits is answered with ErrUnknownOutcome or ErrClosed. It does not
// wait for Run to return; Done tells when it has.
func (h *Host) Close() { h.cancel() }

// Done is closed when Run has returned.
func (h *Host) Done() <-chan struct{} { return h.done }
