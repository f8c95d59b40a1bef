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
	// maximumMessageBytes bounds one message of a stream in either direction.
	maximumMessageBytes = 64 << 20
	// renewalQueueLength is the number of renewals that may wait for the next read round.
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
	states   []groupState          // by group
	client   *controlclient.Client // for commands whose leader may be another node

	leases    *leases
	shares    *shares
	publisher *publisher
	detector  *detector
	orphans   *orphans
	levels    *levels
	retention *retention
	voters    *voters
	jobRoom   *jobRoom
	seeds     atomic.Pointer[[]string] // in place of the settings'
	sessions  sessionSet
	opened    atomic.Uint64 // sessions since the start
	syncs     prometheus.Histogram
	draining  atomic.Bool
	renewals  chan renewal
	nodes     nodeList
	moved     chan struct{} // capacity 1: the control group's leader may have changed

	context  context.Context // ends when the server closes
	cancel   context.CancelFunc
	routines sync.WaitGroup

	mutex    sync.Mutex
	started  bool
	finished chan struct{} // closed when Run has returned
	release  func() error  // gives back all resources, once
}

// New opens the data folder, binds the listener and starts the groups. Run serves.
func New(config Config) (*Server, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	server := &Server{
		config:   config,
		settings: lease.Settings{Lease: config.LeaseDuration, RenewInterval: config.LeaseDuration / 6}.WithDefaults(),
		log:      config.Log,
		syncs:    newSyncs(),
		renewals: make(chan renewal, renewalQueueLength),
		moved:    make(chan struct{}, 1),
		states:   make([]groupState, config.LedgerGroups+1),
	}
	for group := range server.states {
		server.states[group].jobs = make(chan struct{}, 1)
	}
	server.finished = make(chan struct{})
	server.release = sync.OnceValue(server.giveBack)
	server.context, server.cancel = context.WithCancel(context.Background())
	server.leases = newLeases(config.Clock, server.settings)
	server.publisher = newPublisher(server)
	server.shares = newShares(config.Clock, server.settings, server.publisher.tableSince)
	server.detector = newDetector(server)
	server.orphans = newOrphans(server)
	server.levels = newLevels(server)
	server.retention = newRetention(server)
	server.voters = newVoters(server)
	server.jobRoom = newJobRoom()
	if err := server.open(); err != nil {
		server.cancel()
		return nil, err
	}
	return server, nil
}

// open acquires what Close gives back.
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

// Address is the IP:port under which others reach this node.
func (s *Server) Address() string {
	if s.config.Bind != "" && s.config.Listener == nil {
		return s.config.Listen
	}
	return s.listener.Addr().String()
}

// WrittenBytes returns how many bytes this node has written to its data file since it was opened.
func (s *Server) WrittenBytes() uint64 { return s.store.WrittenBytes() }

// Run serves until ctx ends, Close is called or the node must stop because its disk failed. It may be
// called once.
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
			Stream: drpcstream.Options{ManualFlush: true, MaximumBufferSize: wire.KeptBufferBytes},
		},
		Log: func(err error) { s.log.WithError(err).Debug("a connection ended") },
	})
	background := []func(context.Context){s.grantLoop, s.publisher.run, s.detector.run, s.orphans.run, s.retention.run, s.followLeader, s.join, s.voters.run, s.yield, s.levels.run, s.tellHoldings}
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

// serve accepts connections until ctx ends or the groups stop by themselves.
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

// followLeader tells the sessions when another node leads, and prepares this one when it does.
func (s *Server) followLeader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.moved:
		}
		if s.leading() {
			s.settle(ctx)
			s.sessions.each((*session).invite)
			continue
		}
		s.stopGranting()
		if address := s.otherLeader(ctx, controlGroup); address != "" {
			s.sessions.each(func(open *session) { open.redirectTo(address) })
		}
	}
}

// settle begins to grant leases as the new leader, once its leadership is confirmed.
func (s *Server) settle(ctx context.Context) {
	for s.leading() && ctx.Err() == nil {
		if term, confirmed := s.confirmLeadership(ctx); confirmed {
			s.log.Infof("leading the control group in term %d", term)
			return
		}
		_ = pause.For(ctx, readAgain)
	}
}

// leading says whether this node believes that it leads the control group.
func (s *Server) leading() bool {
	return s.states[controlGroup].leader().Leading
}

// otherLeader is the address of the node that leads group, if that is another one and known.
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

// Drain hands all leaderships to other nodes, then stops. Clients and sessions follow by themselves.
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

// Close stops abruptly: nothing is handed over. It returns when Run has.
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

// giveBack closes what open opened. The store goes last: nothing may write any more.
func (s *Server) giveBack() error {
	listenerError := s.listener.Close()
	if errors.Is(listenerError, net.ErrClosed) {
		listenerError = nil
	}
	clientError := s.client.Close()
	s.replicas.Close()
	return trace.NewAggregate(listenerError, clientError, s.store.Close())
}
