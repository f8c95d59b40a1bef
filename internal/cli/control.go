package cli

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"github.com/tamarindring/tamarindring/internal/control"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/page"
)

// controlCommand runs a control node until SIGTERM, then drains it.
type controlCommand struct {
	Name         string        `long:"name" required:"true" description:"Unique name of this node"`
	ID           uint64        `long:"id" required:"true" description:"Identity of this node in every group, above 0; never used again after its disk was lost"`
	Cluster      string        `long:"cluster" required:"true" description:"Cluster id; equal on all nodes, others are refused"`
	Listen       string        `long:"listen" required:"true" value-name:"IP:PORT" description:"Address for other nodes, gateways, coordinators and operators' commands"`
	Peers        []string      `long:"peers" value-name:"ID=NAME@IP:PORT" description:"Control nodes that found the cluster, this one included; comma list or repeated"`
	Join         bool          `long:"join" description:"Start with an empty data folder and wait to be added with 'member add'"`
	Data         string        `long:"data" required:"true" value-name:"FOLDER" description:"Data folder; holds all that must survive"`
	Zone         string        `long:"zone" description:"Zone of this node"`
	Region       string        `long:"region" description:"Region of this node"`
	LedgerGroups int           `long:"ledger-groups" default:"2" description:"Groups that share the claims and samples; equal on all nodes and clients, fixed at the first start"`
	Lease        time.Duration `long:"lease" default:"1200ms" description:"How long a process may act on the table after its last renewal; an accepted change is in force everywhere within one and a half times this"`
	Tick         time.Duration `long:"tick" default:"50ms" description:"Step of the consensus clock; a dead leader is replaced after 10 to 20 of them"`
	DrainTimeout time.Duration `long:"drain-timeout" default:"10s" description:"Longest time to hand leaderships over when stopped by SIGINT or SIGTERM"`
	PageListen   string        `long:"page-listen" value-name:"IP:PORT" description:"Address of the operators' page; none if empty. Without 'tokens' whoever reaches it can change the table"`
	PageToken    string        `long:"page-token" value-name:"FILE" description:"File with the operator's token that the page changes the table with; needed when tokens are asked for"`
	logOptions
	adminOptions
	serverOptions
}

// Run serves until the first SIGINT or SIGTERM, then transfers its leaderships to other nodes and stops.
func (c *controlCommand) Run(environment Environment, _ []string) error {
	peers, err := parsePeers(c.Peers)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	log, err := c.logOptions.open(environment, "control", c.Name, events.ProcessStarted{Zone: c.Zone})
	if err != nil {
		return err
	}
	return log.end(c.serve(environment, peers, log))
}

func (c *controlCommand) serve(environment Environment, peers []control.Peer, process *processLog) error {
	log := process.Entry
	authentication, err := c.openRoleCredentials(log)
	if err != nil {
		return err
	}
	admin, err := c.adminOptions.open("control", c.Name, authentication, log)
	if err != nil {
		return err
	}
	defer closeAdmin(admin)
	server, err := control.New(control.Config{
		Name: c.Name, NodeID: c.ID, ClusterID: c.Cluster, Listen: c.Listen, Peers: peers, Join: c.Join,
		Zone: c.Zone, Region: c.Region, DataFolder: c.Data, LedgerGroups: c.LedgerGroups,
		LeaseDuration: c.Lease, Tick: c.Tick, Log: log,
		Guard: authentication.guard, Credentials: authentication.client, TLS: authentication.tls,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if err := setAdminProcess(admin, server); err != nil {
		return trace.NewAggregate(err, server.Close())
	}
	authentication.warnIfOpen(log, "the control listener", server.Address())
	closePage, err := c.openPage(server.Address(), peers, authentication, log)
	if err != nil {
		return trace.NewAggregate(err, server.Close())
	}
	defer closePage()
	process.serving(server.Address())
	finished := make(chan error, 1)
	go func() { finished <- server.Run(context.Background()) }()
	select {
	case err := <-finished:
		return trace.NewAggregate(err, server.Close())
	case <-environment.Context.Done():
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.DrainTimeout)
	defer cancel()
	drainError := server.Drain(ctx)
	return trace.NewAggregate(drainError, <-finished)
}

// openPage serves the operators' page, if it is configured, with a client of this node and its peers. It returns a
// function that closes the page and its client.
func (c *controlCommand) openPage(own string, peers []control.Peer, authentication roleCredentials, log *logrus.Entry) (func(), error) {
	if c.PageListen == "" {
		return func() {}, nil
	}
	addresses := []string{own}
	for _, peer := range peers {
		if peer.ID != c.ID {
			addresses = append(addresses, peer.Address)
		}
	}
	pageCredentials, err := credentials.NewClient(c.PageToken, authentication.tls, log)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	client, err := controlclient.New(controlclient.Config{Addresses: addresses, LedgerGroups: c.LedgerGroups, Credentials: pageCredentials, Log: log})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	operatorPage, err := page.Open(page.Config{Listen: c.PageListen, Control: client, Guard: authentication.guard, Log: log})
	if err != nil {
		return nil, trace.NewAggregate(&ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}, client.Close())
	}
	log.Infof("operators' page on http://%s/", operatorPage.Address())
	return func() { _, _ = operatorPage.Close(), client.Close() }, nil
}

// parsePeers parses peers of the form ID=NAME@IP:PORT. A text may hold several, separated by commas.
func parsePeers(texts []string) ([]control.Peer, error) {
	var peers []control.Peer
	for _, text := range splitList(texts) {
		peer, err := parsePeer(text)
		if err != nil {
			return nil, trace.BadParameter("peer %q: %v", text, err)
		}
		peers = append(peers, peer)
	}
	return peers, nil
}

func parsePeer(text string) (control.Peer, error) {
	identity, rest, found := strings.Cut(text, "=")
	if !found {
		return control.Peer{}, errors.New("want ID=NAME@IP:PORT")
	}
	name, address, found := strings.Cut(rest, "@")
	if !found {
		return control.Peer{}, errors.New("want ID=NAME@IP:PORT")
	}
	id, err := strconv.ParseUint(identity, 10, 64)
	if err != nil {
		return control.Peer{}, errors.New("the id is not a whole number")
	}
	return control.Peer{ID: id, Name: name, Address: address}, nil
}
