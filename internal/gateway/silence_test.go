package gateway

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
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
	holding  atomic.Bool // answers to POST requests that come now stop as heldAnswer says, so that none ends

	mutex sync.Mutex
	open  []net.Conn // from gateways
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

// cut closes everything, as the end of the process does.
func (f *freezer) cut() {
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, conn := range f.open {
		_ = conn.Close()
	}
}

func (f *freezer) serve(t *testing.T, conn net.Conn) {
	t.Cleanup(func() { _ = conn.Close() })
	f.mutex.Lock()
	f.open = append(f.open, conn)
	f.mutex.Unlock()
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
	answer := &heldAnswer{to: conn}
	done.Go(func() { f.pass(&requestSide{to: target, answer: answer, holding: &f.holding}, conn) })
	done.Go(func() { f.pass(answer, target) })
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

// requestSide writes a connection's requests; it arms the answer's side when one of them is to be held.
type requestSide struct {
	to      io.Writer
	answer  *heldAnswer
	holding *atomic.Bool
}

func (r *requestSide) Write(part []byte) (int, error) {
	if r.holding.Load() && bytes.HasPrefix(part, []byte("POST ")) {
		r.answer.armed.Store(true)
	}
	return r.to.Write(part)
}

// chunkEnd ends an event and the HTTP chunk that holds it: a gateway reads chunks whole.
var chunkEnd = []byte("\n\n\r\n")

// heldAnswer writes a connection's answers. Once armed it lets a stream through up to the end of its first
// event with text, and nothing of a whole answer.
type heldAnswer struct {
	to    io.Writer
	armed atomic.Bool
	seen  []byte
	sent  int
}

func (h *heldAnswer) Write(part []byte) (int, error) {
	if !h.armed.Load() {
		return h.to.Write(part)
	}
	h.seen = append(h.seen, part...)
	start := bytes.Index(h.seen, []byte("data: "))
	if start < 0 {
		return len(part), nil
	}
	end := len(h.seen)
	if length := bytes.Index(h.seen[start:], chunkEnd); length >= 0 {
		end = start + length + len(chunkEnd)
	}
	if end <= h.sent {
		return len(part), nil
	}
	_, err := h.to.Write(h.seen[h.sent:end])
	h.sent = end
	return len(part), err
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

// TestRequestsLeaveABackEndThatHangs freezes the engine that streams and whole answers come from, and never
// thaws it. All must come whole from the other engine, which took none of them before: each stream goes on
// there behind what its caller has, each whole answer is made again.
func TestRequestsLeaveABackEndThatHangs(t *testing.T) {
	const prompt = "Write a long offer. [tokens=400]"
	f, freezers := frozenFixture(t, 2, 0)
	freezers["e0"].holding.Store(true)
	f.cluster.change(t, [3]string{"e1", "state", "draining"})
	var calls, begun sync.WaitGroup
	answers := make([]answer, 8)
	for i := range answers {
		body := fmt.Sprintf(`{"model":"copy","prompt":%q,"stream":%t}`, prompt, i%2 == 0)
		if i%2 == 1 {
			calls.Go(func() { answers[i] = f.post(t, 0, "/v1/completions", body) })
			continue
		}
		begun.Add(1)
		calls.Go(func() { answers[i] = f.postNoting(t, 0, "/v1/completions", body, begun.Done) })
	}
	f.awaitDispatches(t, len(answers))
	begun.Wait() // each stream's caller has its first token, and none has its last
	f.cluster.change(t, [3]string{"e1", "state", "active"})
	freezers["e0"].freeze()
	calls.Wait()
	kinds := map[string]int{}
	for _, entry := range f.gateways[0].Dispatches(0) {
		kinds[entry.Kind+" "+entry.Backend]++
	}
	for i, got := range answers {
		if got.status != 200 {
			t.Fatalf("%+v", got)
		}
		if i%2 == 0 {
			streamedText(t, prompt, got.body)
		}
	}
	if kinds["send e0"] != len(answers) || kinds["replay e1"] != len(answers)/2 || kinds["send e1"] != len(answers)/2 {
		t.Fatalf("dispatches %v, want all of them at e0 first, and then at e1 replays of streams and sends of whole answers", kinds)
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
