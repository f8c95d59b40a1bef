package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// freezer passes bytes between a gateway and a back end until it is frozen; then, like a process that was
// stopped, it accepts connections and bytes and answers nothing.
type freezer struct {
	listener net.Listener
	backend  string
	frozen   chan struct{}
	once     sync.Once
}

func newFreezer(t *testing.T, backend string) *freezer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &freezer{listener: listener, backend: backend, frozen: make(chan struct{})}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go f.serve(t, conn)
		}
	}()
	return f
}

func (f *freezer) freeze() { f.once.Do(func() { close(f.frozen) }) }

func (f *freezer) serve(t *testing.T, conn net.Conn) {
	t.Cleanup(func() { _ = conn.Close() })
	select {
	case <-f.frozen:
		return // open and silent until the test ends
	default:
	}
	target, err := net.Dial("tcp", f.backend)
	if err != nil {
		_ = conn.Close()
		return
	}
	t.Cleanup(func() { _ = target.Close() })
	var done sync.WaitGroup
	done.Go(func() { f.pass(target, conn) })
	done.Go(func() { f.pass(conn, target) })
	done.Wait()
	select {
	case <-f.frozen:
	default:
		_, _ = conn.Close(), target.Close()
	}
}

// pass copies until an end or the freezing; bytes read after that are lost.
func (f *freezer) pass(to io.Writer, from io.Reader) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-f.frozen:
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// frozenFixture puts a freezer before each back end.
func frozenFixture(t *testing.T, engines, apps int) (*fixture, map[string]*freezer) {
	t.Helper()
	f := newFixture(t, engines, apps, 1, nil)
	freezers := map[string]*freezer{}
	add := func(name, address string) {
		freezers[name] = newFreezer(t, address)
		f.cluster.change(t, [3]string{name, "address", freezers[name].listener.Addr().String()})
	}
	for i, server := range f.engines {
		add(fmt.Sprint("e", i), server.Address())
	}
	for i, server := range f.apps {
		add(fmt.Sprint("a", i), server.Address())
	}
	return f, freezers
}

// TestRequestsLeaveABackEndThatHangs freezes the engine that a stream and a whole answer come from, and
// never thaws it. Both must come whole from the other engine.
func TestRequestsLeaveABackEndThatHangs(t *testing.T) {
	f, freezers := frozenFixture(t, 2, 0)
	long := "Write a long offer. [tokens=400]"
	var calls sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		calls.Go(func() {
			body, _ := json.Marshal(map[string]any{"model": "copy", "prompt": long, "stream": i%2 == 0})
			answers[i] = f.post(t, 0, "/v1/completions", string(body))
		})
	}
	f.awaitDispatches(t, len(answers))
	time.Sleep(30 * time.Millisecond) // some tokens
	freezers["e0"].freeze()
	calls.Wait()
	moved := 0
	for _, entry := range f.gateways[0].Dispatches(0) {
		if entry.Kind == "replay" && entry.Backend == "e1" {
			moved++
		}
	}
	for i, got := range answers {
		if got.status != 200 {
			t.Fatalf("%+v", got)
		}
		if i%2 == 0 {
			streamedText(t, long, got.body)
		}
	}
	if moved == 0 {
		t.Fatal("no stream was moved; nothing was shown")
	}
}

// TestNewWorkAvoidsABackEndThatHangs freezes an application replica. A call that it holds may have run; no
// call after that goes there.
func TestNewWorkAvoidsABackEndThatHangs(t *testing.T) {
	f, freezers := frozenFixture(t, 0, 2)
	freezers["a0"].freeze()
	for f.gateways[0].pool("push").status(f.gateways[0].now()).silent == 0 {
		time.Sleep(time.Millisecond) // the test's time limit ends a wait in vain
	}
	for i := range 20 {
		key := fmt.Sprint("k", i)
		if got := f.push(t, 0, key, "{}"); got.status != 200 || got.header.Get(HeaderBackend) != "a1" || f.ran(key) != 1 {
			t.Fatalf("%+v", got)
		}
	}
}
