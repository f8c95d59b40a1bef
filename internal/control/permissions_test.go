package control

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/credentials/credentialtest"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// startGuardedCluster starts three nodes that require tokens, and returns the credentials of each role.
func startGuardedCluster(t *testing.T) (*cluster, map[auth.Role]*credentials.Client) {
	t.Helper()
	folder := t.TempDir()
	path, tokens := credentialtest.WriteTokens(t, folder, credentialtest.OneHolderPerRole())
	shown := map[auth.Role]*credentials.Client{}
	for name, token := range tokens {
		own := filepath.Join(folder, name)
		if err := os.WriteFile(own, []byte(token), 0o600); err != nil {
			t.Fatal(err)
		}
		client, err := credentials.NewClient(own, nil, logging.Discard())
		if err != nil {
			t.Fatal(err)
		}
		shown[auth.Role(name)] = client
	}
	guard, err := credentials.NewGuard(path, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	return startConfiguredCluster(t, func(c *Config) { c.Guard, c.Credentials = guard, shown[auth.Node] }), shown
}

// TestNodesMayChangeOnlySuspectRows checks that nodes may add records of suspect requests to the table and may change
// no other row, even in the same change.
func TestNodesMayChangeOnlySuspectRows(t *testing.T) {
	c, shown := startGuardedCluster(t)
	node := c.client(controlclient.Config{Credentials: shown[auth.Node]})
	change := func(id string, cells ...*wire.CellChange) error {
		_, _, err := node.ChangeTable(testContext(t), &wire.TableChange{ChangeId: id, Operator: "gateway", Cells: cells}, false)
		return err
	}
	suspect := &wire.CellChange{Row: "suspect.00000000000000ab", Column: table.ColumnKind, Value: string(table.Suspect)}
	pool := &wire.CellChange{Row: "pool", Column: table.ColumnKind, Value: string(table.Pool)}
	hidden := &wire.CellChange{Row: "suspect.pool", Column: table.ColumnKind, Value: string(table.Pool)}
	if err := change("1", suspect); err != nil {
		t.Errorf("adding a suspect: got %v, want success", err)
	}
	for id, cells := range map[string][]*wire.CellChange{"2": {pool}, "3": {suspect, pool}, "4": {hidden}} {
		if err := change(id, cells...); err == nil || !strings.Contains(err.Error(), "token") {
			t.Errorf("change of %v: got %v, want an error about the token", cells, err)
		}
	}
}

// TestRolesMayMakeOnlyTheirRequests makes requests of operators and nodes as every role and without a token.
func TestRolesMayMakeOnlyTheirRequests(t *testing.T) {
	c, shown := startGuardedCluster(t)
	shown[""] = nil
	operator := c.client(controlclient.Config{Credentials: shown[auth.Operator]})
	mustAccept(t, operator, poolChange("base", 0, "1"), true)
	for role, client := range shown {
		asking := c.client(controlclient.Config{Credentials: client, Member: gatewayMember("member-" + string(role))})
		_, _, tableError := asking.ChangeTable(testContext(t), weightChange("by-"+string(role), 1, "1"), false)
		_, readError := asking.Query(testContext(t), 0, &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}})
		group := asking.ClaimGroup("key")
		begin := &wire.ClaimBegin{Key: "key-" + string(role), BodyHash: []byte("body"), Owner: "o", Attempt: "a-" + string(role)}
		_, claimError := asking.Execute(testContext(t), group, &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: begin}})
		_, backupError := asking.Backup(testContext(t))
		session, sessionError := asking.StartSession(testContext(t))
		if sessionError == nil {
			session.Close()
		}
		for what, check := range map[string]struct {
			err  error
			open bool
		}{
			"change the table": {tableError, role == auth.Operator},
			"read the table":   {readError, role == auth.Operator || role == auth.Node},
			"claim a key":      {claimError, role == auth.Node},
			"take a backup":    {backupError, role == auth.Operator},
			"hold a lease":     {sessionError, role == auth.Node},
		} {
			if (check.err == nil) != check.open {
				t.Errorf("%q, attempt to %s: permission is not as expected, got error %v", role, what, check.err)
			}
			if check.err != nil && !strings.Contains(check.err.Error(), "token") {
				t.Errorf("%q may not %s, but the error does not mention the token: %v", role, what, check.err)
			}
		}
		// Where an attempt before the refused one got no answer, the client can't know that it did not run either.
		unanswered := tableError != nil && strings.Contains(tableError.Error(), "did not answer in time")
		if tableError != nil && verdict.Of(tableError) != verdict.DidNotRun && !unanswered {
			t.Errorf("%q: a rejected change has the verdict %s, want DidNotRun: %v", role, verdict.Of(tableError), tableError)
		}
	}
	const accepted = 2 // the pool, and the operator's own change
	view, err := operator.Query(testContext(t), 0, &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}})
	if version := view.GetTable().GetToVersion(); err != nil || version != accepted {
		t.Errorf("the table has version %d (error %v): a rejected change was applied", version, err)
	}
}

// TestNodeWithoutATokenIsKeptOutOfTheGroups restarts a follower without its token. It must hear no other node while the
// others keep working, and must catch up once it has its token again.
func TestNodeWithoutATokenIsKeptOutOfTheGroups(t *testing.T) {
	c, shown := startGuardedCluster(t)
	follower := (c.leader() + 1) % len(c.servers)
	c.kill(follower)
	guarded := c.configure
	c.configure = func(config *Config) { guarded(config); config.Credentials = nil }
	c.start(follower, nil)
	operator := c.client(controlclient.Config{Credentials: shown[auth.Operator]})
	mustAccept(t, operator, poolChange("base", 0, "1"), true)
	c.kill(follower)
	c.configure = guarded
	c.start(follower, nil)
	eventually(t, "the node with its token to catch up", func() bool {
		view, err := c.servers[follower].statusView(testContext(t), controlGroup)
		return err == nil && view.GetStatus().GetTableVersion() == 1
	})
}

// TestClusterOverMutualTLS runs a cluster whose connections all require certificates. Clients without a certificate or
// with one of another authority must be rejected.
func TestClusterOverMutualTLS(t *testing.T) {
	authority := credentialtest.NewAuthority(t)
	newTLS := func(from *credentialtest.Authority) *credentials.TLS {
		certificate, key, ca := from.WriteCertificate(t, t.TempDir(), net.ParseIP("127.0.0.1"))
		made, err := credentials.NewTLS(certificate, key, ca, logging.Discard())
		if err != nil {
			t.Fatal(err)
		}
		return made
	}
	shownBy := func(tls *credentials.TLS) *credentials.Client {
		client, err := credentials.NewClient("", tls, logging.Discard())
		if err != nil {
			t.Fatal(err)
		}
		return client
	}
	c := startConfiguredCluster(t, func(config *Config) {
		config.TLS = newTLS(authority)
		config.Credentials = shownBy(config.TLS)
	})
	client := c.client(controlclient.Config{Credentials: shownBy(newTLS(authority)), Member: gatewayMember("g")})
	mustAccept(t, client, poolChange("base", 0, "1"), true)
	session, err := client.StartSession(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	session.Close()
	c.kill(c.leader())
	mustAccept(t, client, weightChange("after", 1, "2"), true)
	for name, shown := range map[string]*credentials.Client{"plain": nil, "foreign": shownBy(newTLS(credentialtest.NewAuthority(t)))} {
		ctx, cancel := context.WithTimeout(testContext(t), time.Second)
		stranger := c.client(controlclient.Config{Credentials: shown})
		if _, err := stranger.Query(ctx, 0, &wire.Query{Kind: &wire.Query_Table{Table: &wire.TableQuery{}}}); err == nil {
			t.Errorf("the %s client was accepted", name)
		}
		cancel()
	}
}
