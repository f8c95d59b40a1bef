package controlclient

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// fakeNode is a control node whose answers a test scripts.
type fakeNode struct {
	wire.DRPCControlUnimplementedServer
	address string
	answer  func(*wire.ExecuteRequest) *wire.ExecuteReply // nil reply: silence
	renew   func(*wire.SessionRequest) *wire.SessionReply
	push    chan *wire.SessionReply // replies that nobody asked for
	stop    func()                  // ends the node
	greet   int                     // invitations sent on each new stream of a session before a renewal is read

	mutex    sync.Mutex
	seen     []*wire.ExecuteRequest
	renewals int
	streams  int           // of sessions
	late     time.Duration // by which a stream is counted after it was opened
}

// Session implements wire.DRPCControlServer.
func (n *fakeNode) Session(stream wire.DRPCControl_SessionStream) error {
	time.Sleep(n.late)
	n.mutex.Lock()
	n.streams++
	n.mutex.Unlock()
	for range n.greet {
		if err := stream.Send(&wire.SessionReply{}); err != nil {
			return err
		}
	}
	requests := make(chan *wire.SessionRequest)
	go func() {
		defer close(requests)
		for {
			request, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case requests <- request:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	for {
		var reply *wire.SessionReply
		select {
		case request, open := <-requests:
			if !open {
				return nil
			}
			n.mutex.Lock()
			n.renewals++
			n.mutex.Unlock()
			reply = n.renew(request)
		case reply = <-n.push:
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

func (n *fakeNode) countStreams() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streams
}

// hasStreams tells whether count streams of sessions, at least, have been opened and have renewed.
func (n *fakeNode) hasStreams(count int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streams >= count && n.renewals >= count
}

func startFake(t *testing.T, answer func(*wire.ExecuteRequest) *wire.ExecuteReply) *fakeNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &fakeNode{address: listener.Addr().String(), answer: answer, push: make(chan *wire.SessionReply)}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterControl(mux, node); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: drpcmanager.Options{}}).Serve(ctx, listener)
	}()
	node.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(node.stop)
	return node
}

// Execute implements wire.DRPCControlServer.
func (n *fakeNode) Execute(stream wire.DRPCControl_ExecuteStream) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return nil
		}
		n.mutex.Lock()
		n.seen = append(n.seen, request)
		n.mutex.Unlock()
		if reply := n.answer(request); reply != nil {
			reply.Id = request.Id
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
	}
}

func (n *fakeNode) requests() []*wire.ExecuteRequest {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.seen
}
