package control

import (
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcstream"
	"storj.io/drpc/drpcwire"

	"github.com/tamarindring/tamarindring/internal/consensus"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/lease"
	"github.com/tamarindring/tamarindring/internal/pause"
	"github.com/tamarindring/tamarindring/internal/storage"
	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// maximumMessageBytes is the size limit of one stream message in either direction.
	maximumMessageBytes = 64 << 20
	// renewalQueueLength is the number of renewals that can queue for the next read round.
	renewalQueueLength = 4096
)

// Server is one control node.
type Server struct {
	config   Config
	settings lease.Settings
	log      *logrus.Entry
	listener net.Listener
	store    *storage.Store
	replicas Replicas
	states   []groupState          // indexed by group
	client   *controlclient.Client // for commands whose group may be led by another node

	leases         *leases
	shares         *shares
	publisher      *publisher
	detector       *detector
	orphans        *orphans
	levels         *levels
	retention      *retention
	voters         *voters
	jobCapacity    *jobCapacity
	seeds          atomic.Pointer[[]string] // replaces Config.Seeds when set
	sessions       sessionSet
	sessionsOpened atomic.Uint64 // number of sessions opened since the start
	syncDurations  prometheus.Histogram
	draining       atomic.Bool
	renewals       chan renewal
	nodes          nodeList
	leaderChange   chan struct{} // capacity 1: the leader of the control group may have changed

	context  context.Context // ends when the server closes
	cancel   context.CancelFunc
	routines sync.WaitGroup

	mutex    sync.Mutex
	started  bool
	finished chan struct{} // closed when Run has returned
	release  func() error  // releases all resources; later calls do nothing
}

// New opens the data folder, binds the listener and opens the replicated groups. The node serves nothing until Run is
// called. An invalid configuration, an address that cannot be bound and a data folder that cannot be opened are errors.
func New(config Config) (*Server, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	server := &Server{
		config:        config,
		settings:      lease.Settings{Lease: config.LeaseDuration, RenewInterval: config.LeaseDuration / 6}.WithDefaults(),
		log:           config.Log,
		syncDurations: newSyncHistogram(),
		renewals:      make(chan renewal, renewalQueueLength),
		leaderChange:  make(chan struct{}, 1),
		states:        make([]groupState, config.LedgerGroups+1),
	}
	for group := range server.states {
		server.states[group].jobs = make(chan struct{}, 1)
	}
	server.finished = make(chan struct{})
	server.release = sync.OnceValue(server.closeResources)
	server.context, server.cancel = context.WithCancel(context.Background())
	server.leases = newLeases(config.Clock, server.settings)
	server.publisher = newPublisher(server)
	server.shares = newShares(config.Clock, server.settings, server.publisher.tableSince)
	server.detector = newDetector(server)
	server.orphans = newOrphans(server)
	server.levels = newLevels(server)
	server.retention = newRetention(server)
	server.voters = newVoters(server)
	server.jobCapacity = newJobCapacity()
	if err := server.open(); err != nil {
		server.cancel()
		return nil, err
	}
	return server, nil
}

// open acquires the resources that closeResources releases.
func (s *Server) open() error {
	if s.listener = s.config.Listener; s.listener == nil {
		listener, err := net.Listen("tcp", cmp.Or(s.config.Bind, s.config.Listen))
		if err != nil {
			return trace.Wrap(err, "control node %s can't listen on %s", s.config.Name, cmp.Or(s.config.Bind, s.config.Listen))
		}
		s.listener = listener
	}
	client, err := controlclient.New(controlclient.Config{
		Addresses: s.peerAddresses(), LedgerGroups: s.config.LedgerGroups, Dial: s.config.Dial, Credentials: s.config.Credentials, Log: s.log,
	})
	if err != nil {
		return trace.NewAggregate(err, s.listener.Close())
	}
	s.client = client
	if err := s.openHost(); err != nil {
		return trace.NewAggregate(err, client.Close(), s.listener.Close())
	}
	return nil
}

func (s *Server) peerAddresses() []string {
	addresses := append([]string{s.listener.Addr().String()}, s.config.Seeds...)
	for _, peer := range s.config.Peers {
		if peer.ID != s.config.NodeID {
			addresses = append(addresses, peer.Address)
		}
	}
	return addresses
}

// Address returns the IP:port at which other processes reach this node.
func (s *Server) Address() string {
	if s.config.Bind != "" && s.config.Listener == nil {
		return s.config.Listen
	}
	return s.listener.Addr().String()
}

// WrittenBytes returns the number of bytes that this node has written to its data file and its snapshot files since it
// opened its data folder.
func (s *Server) WrittenBytes() uint64 { return s.store.WrittenBytes() }

// Run serves until ctx ends, Close is called or a disk failure forces the node to stop. It can be called only once and
// returns an error if the node already ran or is closed.
func (s *Server) Run(ctx context.Context) (err error) {
	if err := s.start(); err != nil {
		return err
	}
	defer close(s.finished)
	defer func() { err = trace.NewAggregate(err, s.release()) }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(s.context, cancel)
	defer stop()
	mux := drpcmux.New()
	if err := s.register(mux); err != nil {
		return trace.Wrap(err)
	}
	server := drpcserver.NewWithOptions(s.config.Guard.Wrap(mux, rolesOf), drpcserver.Options{
		Manager: drpcmanager.Options{
			Reader: drpcwire.ReaderOptions{MaximumBufferSize: maximumMessageBytes},
			Stream: drpcstream.Options{ManualFlush: true, MaximumBufferSize: wire.MaximumRetainedBufferBytes},
		},
		Log: func(err error) { s.log.WithError(err).Debug("a connection ended") },
	})
	background := []func(context.Context){s.grantLoop, s.publisher.run, s.detector.run, s.orphans.run, s.retention.run, s.followLeader, s.join, s.voters.run, s.transferLeaderships, s.levels.run, s.logHoldings}
	for _, routine := range background {
		s.routines.Go(func() { routine(ctx) })
	}
	s.publisher.applied()
	s.log.Infof("serving on %s", s.Address())
	err = s.serve(ctx, server)
	cancel()
	s.routines.Wait()
	s.detector.routines.Wait()
	return trace.Wrap(err)
}

func (s *Server) start() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.started || s.context.Err() != nil {
		return trace.BadParameter("control node %s ran already or was closed", s.config.Name)
	}
	s.started = true
	return nil
}

func (s *Server) register(mux *drpcmux.Mux) error {
	if err := wire.DRPCRegisterRaft(mux, s.replicas); err != nil {
		return err
	}
	return wire.DRPCRegisterControl(mux, s)
}

// serve accepts connections until ctx ends or the replicated groups stop on their own.
func (s *Server) serve(ctx context.Context, server *drpcserver.Server) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	hostFailed := make(chan error, 1)
	go func() {
		hostFailed <- s.replicas.Run(ctx)
		cancel()
	}()
	err := server.Serve(ctx, s.config.TLS.Listen(s.listener))
	cancel()
	if hostError := <-hostFailed; hostError != nil {
		return hostError
	}
	return err
}

// followLeader reacts to changes of the control group's leader until ctx ends. When this node leads, it starts granting
// leases and notifies the sessions. Otherwise it stops granting and redirects the sessions to the new leader.
func (s *Server) followLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.leaderChange:
		}
		if s.leadsControlGroup() {
			s.startLeading(ctx)
			s.sessions.each((*session).notifyLeading)
			continue
		}
		s.stopGranting()
		if address := s.otherLeader(ctx, controlGroup); address != "" {
			s.sessions.each(func(open *session) { open.redirectTo(address) })
		}
	}
}

// startLeading retries until the leadership is confirmed, which starts the granting of leases, or until this node no
// longer leads or ctx ends.
func (s *Server) startLeading(ctx context.Context) {
	for s.leadsControlGroup() && ctx.Err() == nil {
		if term, confirmed := s.confirmLeadership(ctx); confirmed {
			s.log.Infof("leading the control group in term %d", term)
			return
		}
		_ = pause.For(ctx, readRetryPause)
	}
}

// leadsControlGroup reports whether this node believes that it leads the control group. The leadership is not confirmed
// with a quorum.
func (s *Server) leadsControlGroup() bool {
	return s.states[controlGroup].leader().Leading
}

// otherLeader returns the address of the node that leads group, or "" if this node leads it or the leader is unknown.
func (s *Server) otherLeader(ctx context.Context, group uint32) string {
	if s.states[group].leader().Leading {
		return ""
	}
	ctx, cancel := context.WithTimeout(ctx, localTimeout)
	defer cancel()
	var notLeader *consensus.ErrNotLeader
	if errors.As(s.replicas.Read(ctx, group), &notLeader) {
		return notLeader.LeaderAddress
	}
	return ""
}

// Drain transfers all leaderships to other nodes, then stops this node. Clients and sessions find the new leaders on
// their own. If ctx ends first, Drain closes the node nevertheless and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		s.announceLeaving(ctx)
	}()
	err := newHandover(s).run(ctx)
	<-announced
	return trace.NewAggregate(err, s.Close())
}

// Close stops the node without transferring leaderships. If Run was called, Close waits until Run has returned.
func (s *Server) Close() error {
	s.cancel()
	s.mutex.Lock()
	started := s.started
	s.mutex.Unlock()
	if started {
		<-s.finished
	}
	return s.release()
}

// closeResources closes what open opened. The store is closed last, after everything that writes to it has stopped.
func (s *Server) closeResources() error {
	listenerError := s.listener.Close()
	if errors.Is(listenerError, net.ErrClosed) {
		listenerError = nil
	}
	clientError := s.client.Close()
	s.replicas.Close()
	return trace.NewAggregate(listenerError, clientError, s.store.Close())
}
