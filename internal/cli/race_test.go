package cli

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/control"
)

// loss is what becomes of an operator's first sending of a change.
type loss string

const (
	lossNone    loss = "nothing"
	lossRequest loss = "request" // the change never arrives
	lossAnswer  loss = "answer"  // the change arrives, its answer doesn't
)

// lossyProxy stands between one operator and a control node. It holds the first change, known by marker,
// until the other operator's has been sent too, and then loses what it is told to lose; after a loss it
// answers nothing any more.
type lossyProxy struct {
	listener net.Listener
	target   string
	marker   []byte
	loss     loss
	meet     func() // returns once both changes have been sent
	dead     atomic.Bool
	answers  atomic.Bool // answers are swallowed
}

func startLossyProxy(t *testing.T, target, marker string, lost loss, meet func()) *lossyProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &lossyProxy{listener: listener, target: target, marker: []byte(marker), loss: lost, meet: meet}
	var routines sync.WaitGroup
	routines.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			routines.Go(func() { proxy.pass(client) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		routines.Wait()
	})
	return proxy
}

func (p *lossyProxy) pass(client net.Conn) {
	defer client.Close()
	if p.dead.Load() {
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		defer client.Close()
		p.passAnswers(client, server)
	}()
	p.passRequests(client, server)
	_ = server.Close()
	<-finished
}

func (p *lossyProxy) passRequests(client io.Reader, server io.Writer) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := client.Read(buffer)
		if err != nil || p.dead.Load() {
			return
		}
		if bytes.Contains(buffer[:size], p.marker) {
			p.meet()
			switch p.loss {
			case lossRequest:
				p.dead.Store(true)
				return
			case lossAnswer:
				p.answers.Store(true)
			}
		}
		if _, err := server.Write(buffer[:size]); err != nil {
			return
		}
	}
}

func (p *lossyProxy) passAnswers(client io.Writer, server io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := server.Read(buffer)
		if p.answers.Load() {
			p.dead.Store(true)
			return
		}
		if err != nil {
			return
		}
		if _, err := client.Write(buffer[:size]); err != nil {
			return
		}
	}
}

// steadyTick is long enough that a busy machine does not make the nodes change their leader.
const steadyTick = 100 * time.Millisecond

// startCluster runs three control nodes and returns their addresses.
func startCluster(t *testing.T) []string {
	t.Helper()
	var listeners []net.Listener
	var peers []control.Peer
	var addresses []string
	for id := uint64(1); id <= 3; id++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
		peers = append(peers, control.Peer{ID: id, Name: fmt.Sprintf("control-%d", id), Address: listener.Addr().String()})
	}
	for index, peer := range peers {
		server, err := control.New(control.Config{Name: peer.Name, NodeID: peer.ID, ClusterID: "test",
			Listener: listeners[index], Peers: peers, DataFolder: t.TempDir(), Tick: steadyTick})
		if err != nil {
			t.Fatal(err)
		}
		finished := make(chan error, 1)
		go func() { finished <- server.Run(context.Background()) }()
		t.Cleanup(func() {
			if err := server.Close(); err != nil {
				t.Error(err)
			}
			<-finished
		})
	}
	return addresses
}

// racer is one of two operators who set the same cell.
type racer struct {
	name   string
	value  string
	loss   loss
	folder string
}

// run sets the cell by way of the control node at address.
func (r *racer) run(address, row, timeout string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := Main([]string{"table", "set", row, "weight", r.value, "--operator", r.name, "--note", r.note(row),
		"--state-folder", r.folder, "--control", address, "--timeout", timeout}, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func (r *racer) note(row string) string { return "race of " + r.name + " over " + row }

// race lets both send to the leader against one table version, loses what they are to lose, lets those who
// were told nothing send again by way of another node, and returns who was told what.
func race(t *testing.T, leader, other, row string, racers []*racer) (codes []int, told []string) {
	var sent sync.WaitGroup
	sent.Add(len(racers))
	codes, told = make([]int, len(racers)), make([]string, len(racers))
	var running sync.WaitGroup
	for index, operator := range racers {
		once := sync.OnceFunc(sent.Done)
		proxy := startLossyProxy(t, leader, operator.note(row), operator.loss, func() { once(); sent.Wait() })
		running.Go(func() {
			timeout := "20s"
			if operator.loss != lossNone {
				timeout = "1s"
			}
			codes[index], told[index] = operator.run(proxy.listener.Addr().String(), row, timeout)
			once() // it may have given up before it sent anything; the other is not kept waiting for it
		})
	}
	running.Wait()
	for index, operator := range racers {
		if operator.loss == lossNone {
			continue
		}
		if codes[index] != ExitUnknown {
			t.Errorf("%s lost the %s and was told %d: %s", operator.name, operator.loss, codes[index], told[index])
		}
		codes[index], told[index] = operator.run(other, row, "20s")
	}
	return codes, told
}

// TestRacingOperatorsAreToldWrongly lets two operators set one cell under one version, with every pair of
// losses: exactly one change is made, and each is told what became of the own one.
func TestRacingOperatorsAreToldWrongly(t *testing.T) {
	addresses := leaderFirst(t, startCluster(t))
	losses := []loss{lossNone, lossRequest, lossAnswer}
	for _, first := range losses {
		for _, second := range losses {
			t.Run(fmt.Sprintf("%s and %s lost", first, second), func(t *testing.T) {
				t.Parallel()
				row := fmt.Sprintf("pool-%s-%s", first, second)
				mustRun(t, addresses[0], "table", "set", row, "kind", "pool")
				racers := []*racer{
					{name: "ann", value: "11", loss: first, folder: t.TempDir()},
					{name: "ben", value: "22", loss: second, folder: t.TempDir()},
				}
				codes, told := race(t, addresses[0], addresses[1], row, racers)
				checkRace(t, addresses[0], row, racers, codes, told)
			})
		}
	}
}

func checkRace(t *testing.T, address, row string, racers []*racer, codes []int, told []string) {
	t.Helper()
	winner := 0
	if codes[1] == ExitOK {
		winner = 1
	}
	loser := 1 - winner
	if codes[winner] != ExitOK || !strings.Contains(told[winner], "accepted version") {
		t.Fatalf("nobody won: %d %s\n%d %s", codes[0], told[0], codes[1], told[1])
	}
	conflict := fmt.Sprintf("now %s, set by %s", racers[winner].value, racers[winner].name)
	if codes[loser] != ExitRefused || !strings.Contains(told[loser], conflict) {
		t.Errorf("the loser was not told %q: %d %s", conflict, codes[loser], told[loser])
	}
	history := mustRun(t, address, "table", "history", "--row", row, "--column", "weight", "--format", "json")
	if made := strings.Count(history, `"column"`); made != 1 || !strings.Contains(history, `"`+racers[winner].value+`"`) {
		t.Errorf("%d changes were made, want one to %s: %s", made, racers[winner].value, history)
	}
}

// mustRun runs a command that must end well and returns what it prints.
func mustRun(t *testing.T, address string, arguments ...string) string {
	t.Helper()
	var stdout, stderr bytes.Buffer
	arguments = append(arguments, "--control", address)
	if arguments[1] == "set" {
		arguments = append(arguments, "--operator", "test", "--state-folder", t.TempDir())
	}
	if code := Main(arguments, &stdout, &stderr); code != ExitOK {
		t.Fatalf("%v: exit code %d: %s%s", arguments, code, stdout.String(), stderr.String())
	}
	return stdout.String()
}

// leaderFirst puts the leader of the control group first: a client that speaks to another node is sent on
// to the leader and would go around a proxy.
func leaderFirst(t *testing.T, addresses []string) []string {
	t.Helper()
	mustRun(t, strings.Join(addresses, ","), "table", "show") // waits for a leader
	printed := mustRun(t, strings.Join(addresses, ","), "status")
	for index, address := range addresses {
		for line := range strings.SplitSeq(printed, "\n") {
			fields := strings.Fields(line)
			if len(fields) > 4 && fields[2] == address && fields[3] == "0" && fields[4] == "leader" {
				addresses[0], addresses[index] = addresses[index], addresses[0]
				return addresses
			}
		}
	}
	t.Fatalf("no leader in:\n%s", printed)
	return nil
}
