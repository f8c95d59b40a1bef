package sendbuffer

import (
	"bytes"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tamarindring/tamarindring/internal/bytebudget"
)

const testLimit = 800 << 10 // limit of the budget; streams may use 320 KB of it, one connection 100 KB

// peer simulates the system's side of a connection and the other end: the system accepts window bytes that the peer has
// not read, and the peer reads when the test calls read.
type peer struct {
	net.Conn
	mu       sync.Mutex // guards the fields below
	window   int
	unread   int
	got      bytes.Buffer
	deadline time.Time
	closed   bool
}

func (p *peer) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (p *peer) SetReadDeadline(time.Time) error { return nil }

func (p *peer) SetWriteDeadline(at time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = at
	return nil
}

func (p *peer) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return nil
}

func (p *peer) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *peer) TryWrite(data []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, net.ErrClosed
	}
	n := min(len(data), p.window-p.unread)
	p.unread += n
	p.got.Write(data[:n])
	return n, nil
}

func (p *peer) Write(data []byte) (written int, err error) {
	for written < len(data) && err == nil {
		var n int
		n, err = p.TryWrite(data[written:])
		written += n
		p.mu.Lock()
		late := !p.deadline.IsZero() && !time.Now().Before(p.deadline)
		p.mu.Unlock()
		if n == 0 && err == nil && late {
			err = os.ErrDeadlineExceeded
		}
		if n == 0 && err == nil {
			time.Sleep(time.Millisecond)
		}
	}
	return written, err
}

// read lets the peer read up to this many bytes.
func (p *peer) read(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unread -= min(p.unread, most)
}

func (p *peer) all() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Clone(p.got.Bytes())
}

type fixture struct {
	*Set
	budget *bytebudget.Budget
	mu     sync.Mutex
	told   []Cut // guarded by mu
}

func newFixture() *fixture {
	f := &fixture{budget: bytebudget.New(testLimit)}
	f.Set = NewSet(Config{Budget: f.budget, OnCut: func(cut Cut) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.told = append(f.told, cut)
	}})
	return f
}

func (f *fixture) cuts() []Cut {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.told)
}

func (f *fixture) connect(window int) (*peer, *Conn) {
	made := &peer{window: window}
	return made, f.Wrap(made)
}

func (f *fixture) isEmpty(t *testing.T) {
	t.Helper()
	if held := f.budget.Held(bytebudget.Stream); held != 0 || f.Slow() != 0 || f.blocked.Load() != 0 {
		t.Errorf("%d bytes are reserved, %d connections slow, %d writers blocked; want none", held, f.Slow(), f.blocked.Load())
	}
}

func sample(size int) []byte {
	data := make([]byte, size)
	for position := range data {
		data[position] = byte(position * position >> 3)
	}
	return data
}

// TestWritersDoNotWait checks that writes that fit into the buffer return immediately and arrive complete and in order,
// also after Close, and that nothing is buffered while the peer reads fast enough.
func TestWritersDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		reader, conn := f.connect(10 << 10)
		want := sample(90 << 10)
		if n, err := conn.Write(want[:10<<10]); n != 10<<10 || err != nil || f.Slow() != 0 {
			t.Errorf("wrote %d bytes, error %v, %d slow connections; want 10 KB and none", n, err, f.Slow())
		}
		began := time.Now()
		for at := 10 << 10; at < len(want); at += 1 << 10 {
			if n, err := conn.Write(want[at : at+1<<10]); n != 1<<10 || err != nil {
				t.Fatal(n, err)
			}
		}
		if time.Since(began) != 0 || f.Slow() != 1 {
			t.Errorf("written after %s, %d slow connections; want 0s and 1", time.Since(began), f.Slow())
		}
		if err := conn.Close(); err != nil || reader.isClosed() {
			t.Errorf("error %v, closed before everything was sent: %v", err, reader.isClosed())
		}
		for range 90 {
			reader.read(1 << 10)
			time.Sleep(time.Second)
		}
		if !bytes.Equal(reader.all(), want) || !reader.isClosed() || len(f.cuts()) != 0 {
			t.Errorf("%d bytes arrived, closed %v, %d cuts; want all bytes, a closed connection and no cut", len(reader.all()), reader.isClosed(), len(f.cuts()))
		}
		f.isEmpty(t)
	})
}

// TestWritersWaitAsLongAsTheyMay checks that BlockedTimeout starts when a writer begins to wait. A peer that read nothing
// for longer while no writer waited must not be cut off as soon as one does.
func TestWritersWaitAsLongAsTheyMay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		reader, conn := f.connect(0)
		for conn.fill(1 << 10) {
		}
		conn.queue.append(sample(1 << 10)) // fills the free capacity of the last piece, if there is any
		time.Sleep(BlockedTimeout + time.Second)
		began := time.Now()
		if _, err := conn.Write(sample(1 << 10)); !errors.Is(err, ErrBlocked) || time.Since(began) < BlockedTimeout {
			t.Errorf("got error %v after %s, want ErrBlocked after BlockedTimeout", err, time.Since(began))
		}
		_ = reader.Close()
	})
}

// fill writes this many bytes if that does not have to wait, and reports whether it did.
func (c *Conn) fill(bytes int) bool {
	c.mu.Lock()
	room := c.queue.reserved+pieceCapacity(bytes) <= c.set.maxPerConnection
	c.mu.Unlock()
	if room {
		_, _ = c.Write(sample(bytes))
	}
	return room
}

// TestWritersWaitWithoutRoom checks that a writer waits for the peer when its connection has used its share of the budget,
// and that everything arrives.
func TestWritersWaitWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		reader, conn := f.connect(10 << 10)
		want := sample(500 << 10)
		written := false
		go func() {
			if n, err := conn.Write(want); n != len(want) || err != nil {
				t.Error(n, err)
			}
			written = true
		}()
		time.Sleep(time.Second)
		if held := f.budget.Held(bytebudget.Stream); written || held > testLimit/maxShareDivisor || f.blocked.Load() != 1 {
			t.Errorf("written %v, %d bytes reserved, %d writers blocked; want a blocked writer within its share", written, held, f.blocked.Load())
		}
		for range 600 {
			reader.read(1 << 10)
			time.Sleep(time.Second)
		}
		synctest.Wait()
		if !written || !bytes.Equal(reader.all(), want) {
			t.Errorf("written %v, %d bytes arrived, want all", written, len(reader.all()))
		}
		f.isEmpty(t)
	})
}

// TestPeersThatDoNotRead checks that peers which read next to nothing are cut off after StillTimeout, or after
// BlockedTimeout if a writer waits, also if they read a byte now and then.
func TestPeersThatDoNotRead(t *testing.T) {
	for name, test := range map[string]struct {
		bytes int
		cause error
		after time.Duration
	}{"buffered": {50 << 10, ErrStill, StillTimeout}, "blocked": {200 << 10, ErrBlocked, BlockedTimeout}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				reader, conn := f.connect(1 << 10)
				conn.SetRequest("r-1")
				began := time.Now()
				go func() { _, _ = conn.Write(sample(test.bytes)) }()
				for range test.after/time.Second + 1 {
					if time.Since(began) < test.after && len(f.cuts()) != 0 {
						t.Fatalf("cut off before the timeout: %+v", f.cuts())
					}
					reader.read(1)
					time.Sleep(time.Second)
				}
				synctest.Wait()
				if len(f.cuts()) != 1 || !errors.Is(f.cuts()[0].Cause, test.cause) || f.cuts()[0].Request != "r-1" || !reader.isClosed() {
					t.Errorf("got cuts %+v, closed %v; want one cut with the cause of the test case", f.cuts(), reader.isClosed())
				}
				if _, err := conn.Write([]byte("x")); !errors.Is(err, test.cause) {
					t.Errorf("a write after the cut returned error %v, want the cause of the cut", err)
				}
				f.isEmpty(t)
			})
		})
	}
}

// TestLongestStillPeerIsShed checks that only the peer which has read nothing for the longest time is cut off when the
// budget is exhausted, and that peers which read stay connected.
func TestLongestStillPeerIsShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		dead, deadConn := f.connect(0)
		if _, err := deadConn.Write(sample(90 << 10)); err != nil {
			t.Fatal(err)
		}
		var steady []*peer
		fill := func(count int) {
			for range count {
				reader, conn := f.connect(1 << 10)
				steady = append(steady, reader)
				go func() { _, _ = conn.Write(sample(64 << 10)) }()
			}
			synctest.Wait()
		}
		fill(3)
		for range 5 {
			for _, reader := range steady {
				reader.read(1 << 10)
			}
			time.Sleep(ShedTimeout / 2)
		}
		if len(f.cuts()) != 0 {
			t.Fatalf("cut off while the budget has free space: %+v", f.cuts())
		}
		fill(2)
		for range 300 {
			for _, reader := range steady {
				reader.read(1 << 10)
			}
			time.Sleep(ShedTimeout / 2)
		}
		if len(f.cuts()) != 1 || !errors.Is(f.cuts()[0].Cause, ErrShed) || !dead.isClosed() {
			t.Errorf("got cuts %+v, want only the peer that does not read, with ErrShed", f.cuts())
		}
		for _, reader := range steady {
			if !bytes.Equal(reader.all(), sample(64<<10)) {
				t.Errorf("%d bytes arrived, want all", len(reader.all()))
			}
		}
		f.isEmpty(t)
	})
}

// TestCutStalled checks that CutStalled cuts off the peers that have read nothing for BlockedTimeout, and no others.
func TestCutStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		dead, deadConn := f.connect(0)
		live, liveConn := f.connect(1 << 10)
		for _, conn := range []*Conn{deadConn, liveConn} {
			if _, err := conn.Write(sample(20 << 10)); err != nil {
				t.Fatal(err)
			}
		}
		for range 20 {
			live.read(1 << 10)
			time.Sleep(BlockedTimeout / 20)
		}
		f.CutStalled()
		synctest.Wait()
		if !dead.isClosed() || live.isClosed() {
			t.Errorf("closed: still peer %v, reading peer %v; want only the still one", dead.isClosed(), live.isClosed())
		}
		live.read(1 << 20)
		time.Sleep(time.Second)
		live.read(1 << 20)
		time.Sleep(time.Second)
	})
}

// BenchmarkWrite compares writes to a plain TCP connection with writes through the buffer.
func BenchmarkWrite(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			raw, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				buffer := make([]byte, 64<<10)
				for {
					if _, err := raw.Read(buffer); err != nil {
						return
					}
				}
			}()
		}
	}()
	set := NewSet(Config{Budget: bytebudget.New(1 << 30)})
	for name, wrap := range map[string]func(net.Conn) net.Conn{"plain": func(conn net.Conn) net.Conn { return conn },
		"buffered": func(conn net.Conn) net.Conn { return set.Wrap(conn) }} {
		b.Run(name, func(b *testing.B) {
			raw, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer raw.Close()
			conn, data := wrap(raw), make([]byte, 1<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
