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

// freezableProxy forwards bytes between a gateway and a back end until it is frozen. Then, like a stopped process,
// it accepts connections and bytes and answers nothing.
type freezableProxy struct {
	listener    net.Listener
	backend     string
	frozen      chan struct{}
	once        sync.Once
	holdAnswers atomic.Bool // new answers to POST requests are held as answerHolder describes, so that none ends

	mutex sync.Mutex
	open  []net.Conn // connections from gateways
}

func newFreezableProxy(t *testing.T, backend string) *freezableProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &freezableProxy{listener: listener, backend: backend, frozen: make(chan struct{})}
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

func (f *freezableProxy) freeze() { f.once.Do(func() { close(f.frozen) }) }

// closeAll closes the listener and all connections, as the end of the process would.
func (f *freezableProxy) closeAll() {
	_ = f.listener.Close()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, conn := range f.open {
		_ = conn.Close()
	}
}

func (f *freezableProxy) serve(t *testing.T, conn net.Conn) {
	t.Cleanup(func() { _ = conn.Close() })
	f.mutex.Lock()
	f.open = append(f.open, conn)
	f.mutex.Unlock()
	select {
	case <-f.frozen:
		return // stays open and silent until the test ends
	default:
	}
	target, err := net.Dial("tcp", f.backend)
	if err != nil {
		_ = conn.Close()
		return
	}
	t.Cleanup(func() { _ = target.Close() })
	var done sync.WaitGroup
	answer := &answerHolder{to: conn}
	done.Go(func() { f.forward(&requestWriter{to: target, answer: answer, holdAnswers: &f.holdAnswers}, conn) })
	done.Go(func() { f.forward(answer, target) })
	done.Wait()
	select {
	case <-f.frozen:
	default:
		_, _ = conn.Close(), target.Close()
	}
}

// forward copies bytes until an error or until the proxy is frozen. Bytes read after that are dropped.
func (f *freezableProxy) forward(to io.Writer, from io.Reader) {
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

// requestWriter forwards the requests of a connection, and arms the answerHolder if an answer is to be held.
type requestWriter struct {
	to          io.Writer
	answer      *answerHolder
	holdAnswers *atomic.Bool
}

func (r *requestWriter) Write(part []byte) (int, error) {
	if r.holdAnswers.Load() && bytes.HasPrefix(part, []byte("POST ")) {
		r.answer.armed.Store(true)
	}
	return r.to.Write(part)
}

// chunkEnd ends an event together with the HTTP chunk that contains it, because a gateway reads complete chunks.
var chunkEnd = []byte("\n\n\r\n")

// answerHolder forwards the answers of a connection. Once armed, it forwards a stream only up to the end of its
// first event with text, and nothing of an answer that is not streamed.
type answerHolder struct {
	to    io.Writer
	armed atomic.Bool
	seen  []byte
	sent  int
}

func (h *answerHolder) Write(part []byte) (int, error) {
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

// newProxiedFixture returns a fixture with a freezable proxy in front of each back end, and the proxies by back
// end.
func newProxiedFixture(t *testing.T, engines, apps int) (*fixture, map[string]*freezableProxy) {
	t.Helper()
	f := newFixture(t, engines, apps, 1, nil)
	proxies := map[string]*freezableProxy{}
	add := func(name, address string) {
		proxies[name] = newFreezableProxy(t, address)
		f.cluster.change(t, [3]string{name, "address", proxies[name].listener.Addr().String()})
	}
	for i, server := range f.engines {
		add(fmt.Sprint("e", i), server.Address())
	}
	for i, server := range f.apps {
		add(fmt.Sprint("a", i), server.Address())
	}
	return f, proxies
}

// TestRequestsMoveFromHungBackEnd guards against requests that wait for a back end that hangs. The engine that
// serves streams and other answers is frozen for good. The other engine, which had none of them before, must
// complete all: each stream by a replay after the tokens that its caller has, each other answer by a new send.
func TestRequestsMoveFromHungBackEnd(t *testing.T) {
	const prompt = "Write a long offer. [tokens=400]"
	f, proxies := newProxiedFixture(t, 2, 0)
	proxies["e0"].holdAnswers.Store(true)
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
		calls.Go(func() { answers[i] = f.postAndNotify(t, 0, "/v1/completions", body, begun.Done) })
	}
	f.awaitDispatches(t, len(answers))
	begun.Wait() // every stream's caller has the first token, and none has the last
	f.cluster.change(t, [3]string{"e1", "state", "active"})
	proxies["e0"].freeze()
	calls.Wait()
	kinds := map[string]int{}
	for _, entry := range f.gateways[0].Dispatches(0) {
		kinds[entry.Kind+" "+entry.Backend]++
	}
	for i, got := range answers {
		if got.status != 200 {
			t.Fatalf("got %+v, want status 200", got)
		}
		if i%2 == 0 {
			checkStreamedText(t, prompt, got.body)
		}
	}
	if kinds["send e0"] != len(answers) || kinds["replay e1"] != len(answers)/2 || kinds["send e1"] != len(answers)/2 {
		t.Fatalf("got dispatches %v, want sends of all at e0, and then at e1 replays of the streams and sends of the others", kinds)
	}
}

// TestNewRequestsAvoidHungBackEnd freezes an application replica. Once it counts as silent, no new call may go
// there, because a call that it holds may have run.
func TestNewRequestsAvoidHungBackEnd(t *testing.T) {
	f, proxies := newProxiedFixture(t, 0, 2)
	proxies["a0"].freeze()
	for f.gateways[0].pool("push").status(f.gateways[0].now()).silent == 0 {
		time.Sleep(time.Millisecond) // bounded by the time limit of the test
	}
	for i := range 20 {
		key := fmt.Sprint("k", i)
		if got := f.push(t, 0, key, "{}"); got.status != 200 || got.header.Get(HeaderBackend) != "a1" || f.executions(key) != 1 {
			t.Fatalf("got %+v, want status 200 from a1 after one run", got)
		}
	}
}
