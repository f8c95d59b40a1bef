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
	silences *silenceTracker
	// partsAgreed is set once a node that sent a snapshot has announced that level SnapshotParts is in force. Levels
	// never decrease.
	partsAgreed atomic.Bool

	// Owned by the loop.
	groups        []*hostedGroup
	groupByID     map[uint32]*hostedGroup
	writer        *writer
	nextWrite     []*hostedGroup // groups with data for the next write
	inWrite       []*hostedGroup // groups of the write in progress
	proposedCount int            // proposals taken since the last write started
	freeSpace     storage.FreeSpace
	encoded       chan *encodedState // buffered for one per group
	encoders      sync.WaitGroup     // goroutines that encode a state or read a stored snapshot

	ctx      context.Context // canceled when the host stops
	cancel   context.CancelFunc
	done     chan struct{} // closed when Run has returned
	once     sync.Once
	failures chan error // reason to stop that arose outside the loop
}

// New loads all groups from the store. At the first start it creates them, with Config.Peers as voters unless
// Config.Join is set. Errors: an invalid configuration, those of the store, and a snapshot that cannot be restored.
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
		silences:  newSilenceTracker(config.NodeID, 0),
		groupByID: map[uint32]*hostedGroup{},
		writer:    newWriter(config.Store),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		failures:  make(chan error, 1),
		encoded:   make(chan *encodedState, len(config.Groups)),
	}
	host.peers = newPeerSet(host, nonce)
	if err := host.foundGroups(); err != nil {
		cancel()
		return nil, err
	}
	for _, id := range config.Groups {
		if err := host.loadGroup(id); err != nil {
			cancel()
			return nil, err
		}
	}
	host.requireVoterConfirmation()
	return host, nil
}

// foundGroups writes the initial configuration of all groups into an empty store. Afterwards the stored membership is
// authoritative and the settings are ignored.
func (h *Host) foundGroups() error {
	storedIDs, err := h.config.Store.Groups()
	if err != nil {
		return err
	}
	if len(storedIDs) > 0 {
		return h.checkStoredGroups(storedIDs)
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

func (h *Host) checkStoredGroups(storedIDs []uint32) error {
	stored := map[uint32]bool{}
	for _, id := range storedIDs {
		stored[id] = true
	}
	for _, id := range h.config.Groups {
		if !stored[id] {
			return trace.BadParameter("consensus: group %d is not in the data folder, which holds groups %v; "+
				"the number of groups is fixed at the first start", id, storedIDs)
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

// requireVoterConfirmation makes a node that is new to all its groups wait until every voter knows its data folder.
func (h *Host) requireVoterConfirmation() {
	for _, group := range h.groups {
		if !group.cycle.IsHardStateEmpty() || group.applied > 0 {
			return
		}
	}
	for _, group := range h.groups {
		h.book.requireConfirmation(group.node.Status().Configuration.Voters)
	}
}

// Run drives the host until ctx ends or Close is called, and then returns nil. It returns an error if a write fails,
// the state is damaged, or a peer refuses this node (*ErrRefused).
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

// fail makes the loop end with err. A nil err is an orderly end.
func (h *Host) fail(err error) {
	if err == nil {
		err = errStopped
	}
	select {
	case h.failures <- err:
	default:
	}
}

// finish stops the background work and answers all pending requests.
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

// Close stops the host abruptly. Pending requests are answered with ErrUnknownOutcome or ErrClosed. Close does not
// wait for Run to return; use Done for that.
func (h *Host) Close() { h.cancel() }

// Done returns a channel that is closed when Run has returned.
func (h *Host) Done() <-chan struct{} { return h.done }
