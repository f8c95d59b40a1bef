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

// lossKind tells what is lost of an operator's first sending of a change.
type lossKind string

const (
	lossNone    lossKind = "nothing"
	lossRequest lossKind = "request" // the change never arrives
	lossAnswer  lossKind = "answer"  // the change arrives, but its answer is lost
)

// lossyProxy forwards one operator's connections to a control node. It holds the first change, which it recognizes by
// the marker, until the other operator's change has been sent too. Then it loses the change or its answer as
// configured. After a loss it forwards nothing any more.
type lossyProxy struct {
	listener    net.Listener
	target      string
	marker      []byte
	loss        lossKind
	awaitBoth   func() // returns when both changes have been sent
	closed      atomic.Bool
	dropAnswers atomic.Bool // answers are dropped
}

// startLossyProxy runs a proxy until the test ends.
func startLossyProxy(t *testing.T, target, marker string, lost lossKind, awaitBoth func()) *lossyProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	proxy := &lossyProxy{listener: listener, target: target, marker: []byte(marker), loss: lost, awaitBoth: awaitBoth}
	var routines sync.WaitGroup
	routines.Go(func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			routines.Go(func() { proxy.forward(client) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		routines.Wait()
	})
	return proxy
}

func (p *lossyProxy) forward(client net.Conn) {
	defer client.Close()
	if p.closed.Load() {
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
		p.forwardAnswers(client, server)
	}()
	p.forwardRequests(client, server)
	_ = server.Close()
	<-finished
}

func (p *lossyProxy) forwardRequests(client io.Reader, server io.Writer) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := client.Read(buffer)
		if err != nil || p.closed.Load() {
			return
		}
		if bytes.Contains(buffer[:size], p.marker) {
			p.awaitBoth()
			switch p.loss {
			case lossRequest:
				p.closed.Store(true)
				return
			case lossAnswer:
				p.dropAnswers.Store(true)
			}
		}
		if _, err := server.Write(buffer[:size]); err != nil {
			return
		}
	}
}

func (p *lossyProxy) forwardAnswers(client io.Writer, server io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		size, err := server.Read(buffer)
		if p.dropAnswers.Load() {
			p.closed.Store(true)
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

// steadyTick is long enough that the nodes of a busy machine do not elect another leader during the test.
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

// racer is one of two operators who set the same cell at the same time.
type racer struct {
	name   string
	value  string
	loss   lossKind
	folder string
}

// run sets the cell through the control node at address. It returns the exit code and all output.
func (r *racer) run(address, row, timeout string) (int, string) {
	var stdout, stderr bytes.Buffer
	code := Main([]string{"table", "set", row, "weight", r.value, "--operator", r.name, "--note", r.note(row),
		"--state-folder", r.folder, "--control", address, "--timeout", timeout}, &stdout, &stderr)
	return code, stdout.String() + stderr.String()
}

func (r *racer) note(row string) string { return "race of " + r.name + " over " + row }

// race lets both operators send to the leader against the same table version and loses what they are configured to
// lose. An operator whose request or answer was lost repeats the command through another node. The results are the
// last exit code and output of each operator.
func race(t *testing.T, leader, other, row string, racers []*racer) (codes []int, outputs []string) {
	var sent sync.WaitGroup
	sent.Add(len(racers))
	codes, outputs = make([]int, len(racers)), make([]string, len(racers))
	var running sync.WaitGroup
	for index, operator := range racers {
		once := sync.OnceFunc(sent.Done)
		proxy := startLossyProxy(t, leader, operator.note(row), operator.loss, func() { once(); sent.Wait() })
		running.Go(func() {
			timeout := "20s"
			if operator.loss != lossNone {
				timeout = "1s"
			}
			codes[index], outputs[index] = operator.run(proxy.listener.Addr().String(), row, timeout)
			once() // the operator may have given up before sending; the other must not wait for it
		})
	}
	running.Wait()
	for index, operator := range racers {
		if operator.loss == lossNone {
			continue
		}
		if codes[index] != ExitUnknown {
			t.Errorf("%s lost the %s: got exit code %d, want an unknown outcome: %s", operator.name, operator.loss, codes[index], outputs[index])
		}
		codes[index], outputs[index] = operator.run(other, row, "20s")
	}
	return codes, outputs
}

// TestRacingOperatorsAreToldWrongly lets two operators set one cell against the same version, with every pair of
// losses. Exactly one change may be made. The winner must learn that its change was accepted, and the other one must
// learn of the conflict.
func TestRacingOperatorsAreToldWrongly(t *testing.T) {
	addresses := leaderFirst(t, startCluster(t))
	losses := []lossKind{lossNone, lossRequest, lossAnswer}
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
				codes, outputs := race(t, addresses[0], addresses[1], row, racers)
				checkRace(t, addresses[0], row, racers, codes, outputs)
			})
		}
	}
}

// checkRace fails the test unless one operator's change was accepted and the other's was refused with the winner's
// value and name.
func checkRace(t *testing.T, address, row string, racers []*racer, codes []int, outputs []string) {
	t.Helper()
	winner := 0
	if codes[1] == ExitOK {
		winner = 1
	}
	loser := 1 - winner
	if codes[winner] != ExitOK || !strings.Contains(outputs[winner], "accepted version") {
		t.Fatalf("no change was accepted, want one: exit code %d, %s\nexit code %d, %s", codes[0], outputs[0], codes[1], outputs[1])
	}
	conflict := fmt.Sprintf("now %s, set by %s", racers[winner].value, racers[winner].name)
	if codes[loser] != ExitRefused || !strings.Contains(outputs[loser], conflict) {
		t.Errorf("want a refusal with %q for the other operator, got exit code %d, %s", conflict, codes[loser], outputs[loser])
	}
	history := mustRun(t, address, "table", "history", "--row", row, "--column", "weight", "--format", "json")
	if changes := strings.Count(history, `"column"`); changes != 1 || !strings.Contains(history, `"`+racers[winner].value+`"`) {
		t.Errorf("got %d changes in the history, want one to %s: %s", changes, racers[winner].value, history)
	}
}

// mustRun runs a command that must succeed and returns its output.
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

// leaderFirst moves the leader of the control group to the front. A client that connects to another node is
// redirected to the leader and would bypass a proxy.
func leaderFirst(t *testing.T, addresses []string) []string {
	t.Helper()
	mustRun(t, strings.Join(addresses, ","), "table", "show") // waits until there is a leader
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
