package gateway

import (
	"context"
	"net"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/compat"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/poisonguard"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// session implements Control with a client of a control group.
type session struct {
	*controlclient.Session
	client *controlclient.Client
}

// Open binds the listener unless config.Listener is set, starts a session with the control group and returns a
// gateway that uses it. It waits until the session holds a lease or ctx ends. It sets Control and Suspects in
// config, and Member in control. After an error it closes the listener.
func Open(ctx context.Context, config Config, control controlclient.Config) (*Server, error) {
	if config.Name == "" {
		return nil, trace.BadParameter("gateway: a name is required")
	}
	if config.Listener == nil {
		listener, err := net.Listen("tcp", config.Listen)
		if err != nil {
			return nil, trace.BadParameter("gateway %s cannot listen on %s: %v", config.Name, config.Listen, err)
		}
		config.Listener = listener
	}
	control.Member = &wire.Member{Name: config.Name, Role: wire.MemberRole_MEMBER_ROLE_GATEWAY,
		Address: config.Listener.Addr().String(), Zone: config.Zone, Region: config.Region}
	opened, err := openSession(ctx, control)
	if err != nil {
		_ = config.Listener.Close()
		return nil, err
	}
	config.Control = opened
	config.Suspects, err = poisonguard.New(poisonguard.Config{Control: opened.client, Leading: opened.isSuspectCleaner,
		Recorded: func() bool { return opened.Level().Includes(compat.Shares) }, Operator: config.Name, Log: config.Log})
	if err != nil {
		return nil, trace.NewAggregate(err, opened.Close(), config.Listener.Close())
	}
	server, err := New(config)
	if err != nil {
		_ = opened.Close()
		_ = config.Listener.Close()
		return nil, err
	}
	return server, nil
}

func openSession(ctx context.Context, config controlclient.Config) (*session, error) {
	client, err := controlclient.New(config)
	if err != nil {
		return nil, err
	}
	started, err := client.StartSession(ctx)
	if err != nil {
		_ = client.Close()
		return nil, err
	}
	return &session{Session: started, client: client}, nil
}

// ClaimGroup implements Control.
func (s *session) ClaimGroup(key string) uint32 { return s.client.ClaimGroup(key) }

// Execute implements Control.
func (s *session) Execute(ctx context.Context, group uint32, command *wire.Command) (*wire.Result, error) {
	return s.client.Execute(ctx, group, command)
}

// Query implements Control.
func (s *session) Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error) {
	return s.client.Query(ctx, group, query)
}

// Leave implements Control.
func (s *session) Leave(ctx context.Context) error {
	err := s.Session.Leave(ctx)
	return trace.NewAggregate(err, s.client.Close())
}

// Close implements Control.
func (s *session) Close() error {
	s.Session.Close()
	return s.client.Close()
}
