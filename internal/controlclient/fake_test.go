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

// fakeNode is a control node with scripted answers.
type fakeNode struct {
	wire.DRPCControlUnimplementedServer
	address     string
	answer      func(*wire.ExecuteRequest) *wire.ExecuteReply // a nil reply means that the node does not answer
	renew       func(*wire.SessionRequest) *wire.SessionReply
	unsolicited chan *wire.SessionReply // replies sent without a renewal
	stop        func()                  // stops the node and waits for it
	invitations int                     // invitations sent on each new session stream before a renewal is read

	mutex      sync.Mutex
	received   []*wire.ExecuteRequest
	renewals   int
	streams    int           // session streams counted
	countDelay time.Duration // delay after which a new session stream is counted
}

// Session implements wire.DRPCControlServer.
func (n *fakeNode) Session(stream wire.DRPCControl_SessionStream) error {
	time.Sleep(n.countDelay)
	n.mutex.Lock()
	n.streams++
	n.mutex.Unlock()
	for range n.invitations {
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
		case reply = <-n.unsolicited:
		}
		if err := stream.Send(reply); err != nil {
			return err
		}
	}
}

// countStreams returns the number of session streams counted so far.
func (n *fakeNode) countStreams() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streams
}

// hasStreams reports whether at least count session streams were opened and at least count renewals received.
func (n *fakeNode) hasStreams(count int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.streams >= count && n.renewals >= count
}

// startFake starts a node on a free port. It is stopped when the test ends.
func startFake(t *testing.T, answer func(*wire.ExecuteRequest) *wire.ExecuteReply) *fakeNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &fakeNode{address: listener.Addr().String(), answer: answer, unsolicited: make(chan *wire.SessionReply)}
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
		n.received = append(n.received, request)
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
	return n.received
}
