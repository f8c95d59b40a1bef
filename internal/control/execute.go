package control

import (
	"context"
	"sync"
	"time"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	// concurrentRequests is the number of requests of one stream that are handled concurrently. The stream is not read
	// any further until one of them is answered.
	concurrentRequests = 2048
	// defaultTimeout applies to requests that set no timeout. maximumTimeout is the upper limit of all timeouts.
	defaultTimeout = 2 * time.Second
	maximumTimeout = 30 * time.Second
	// replyQueueLength is the number of replies that can queue for a stream's writer.
	replyQueueLength = 256
	// inForcePoll is the interval at which a change that waits to come into force checks for lapsed leases.
	inForcePoll = 10 * time.Millisecond
)

// executeStream answers the pipelined requests of one client.
type executeStream struct {
	server   *Server
	stream   wire.DRPCControl_ExecuteStream
	replies  chan *wire.ExecuteReply
	slots    chan struct{}
	handlers sync.WaitGroup
}

// Execute implements wire.DRPCControlServer.
func (s *Server) Execute(stream wire.DRPCControl_ExecuteStream) error {
	ctx, cancel := context.WithCancel(stream.Context())
	e := &executeStream{
		server: s, stream: stream,
		replies: make(chan *wire.ExecuteReply, replyQueueLength),
		slots:   make(chan struct{}, concurrentRequests),
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		e.write()
	}()
	err := e.read(ctx)
	cancel()
	e.handlers.Wait()
	close(e.replies)
	<-writerDone
	return err
}

func (e *executeStream) read(ctx context.Context) error {
	for {
		request, err := e.stream.Recv()
		if err != nil {
			return endOfStream(err)
		}
		select {
		case e.slots <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		e.handlers.Add(1)
		go e.handle(ctx, request)
	}
}

func (e *executeStream) handle(ctx context.Context, request *wire.ExecuteRequest) {
	defer e.handlers.Done()
	reply := e.server.execute(ctx, request)
	<-e.slots
	if reply.Status == wire.ExecuteStatus_EXECUTE_STATUS_OK && request.WaitInForce {
		e.server.waitInForce(ctx, request, reply)
	}
	reply.Id = request.Id
	e.replies <- reply
}

// write sends replies and flushes the stream when no further reply is queued. After a send error it keeps consuming
// replies, so that no handler blocks.
func (e *executeStream) write() {
	broken := false
	for reply := range e.replies {
		if broken {
			continue
		}
		err := e.stream.Send(reply)
		if err == nil && len(e.replies) == 0 {
			err = flush(e.stream)
		}
		broken = err != nil
	}
}

// execute handles one request and returns its reply with the id unset.
func (s *Server) execute(ctx context.Context, request *wire.ExecuteRequest) *wire.ExecuteReply {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout(request))
	defer cancel()
	if reason := s.invalidReason(request); reason != "" {
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_INVALID, Error: reason}
	}
	if reason := denialReason(ctx, request); reason != "" {
		return &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_INVALID, Error: reason}
	}
	if request.Query != nil {
		return s.query(ctx, request)
	}
	if request.Change != nil {
		return s.changeGroup(ctx, request)
	}
	if submit := request.Command.GetJobSubmit(); submit != nil {
		return s.submitJob(ctx, request, submit)
	}
	result, index, err := s.replicas.Propose(ctx, request.Group, request.Command)
	if err != nil {
		return s.failureReply(request.Group, err)
	}
	reply := &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, Result: result, AppliedIndex: index}
	return s.addInForce(request.Group, reply)
}

func (s *Server) query(ctx context.Context, request *wire.ExecuteRequest) *wire.ExecuteReply {
	ask := s.replicas.Query
	if request.Local {
		ask = s.replicas.LocalQuery
	}
	if request.Query.GetStatus() != nil {
		ask = func(ctx context.Context, group uint32, _ *wire.Query) (*wire.View, error) {
			return s.statusView(ctx, group)
		}
	}
	view, err := ask(ctx, request.Group, request.Query)
	if err != nil {
		return s.failureReply(request.Group, err)
	}
	return s.addInForce(request.Group, &wire.ExecuteReply{Status: wire.ExecuteStatus_EXECUTE_STATUS_OK, View: view})
}

// addInForce adds the table version in force and the time bound for new changes to a reply of the control group.
func (s *Server) addInForce(group uint32, reply *wire.ExecuteReply) *wire.ExecuteReply {
	if group == controlGroup {
		reply.InForceVersion = s.leases.inForce()
		reply.InForceWithinMillis = uint32(s.settings.Bound().Milliseconds())
	}
	return reply
}

func requestTimeout(request *wire.ExecuteRequest) time.Duration {
	timeout := time.Duration(request.TimeoutMillis) * time.Millisecond
	if timeout <= 0 {
		return defaultTimeout
	}
	return min(timeout, maximumTimeout)
}

// invalidReason returns why a request is invalid, or "" if it is valid.
func (s *Server) invalidReason(request *wire.ExecuteRequest) string {
	switch {
	case countKinds(request) != 1:
		return "want exactly one of command, query and change"
	case int(request.Group) > s.config.LedgerGroups:
		return "no such group: the clients' number of ledger groups must equal the control nodes'"
	case request.Command != nil && request.Command.Kind == nil:
		return "the command is empty or newer than this control node"
	case request.Command.GetLevelRaise() != nil:
		return "only the control group's leader raises the level"
	case request.Command != nil && isControlCommand(request.Command) != (request.Group == controlGroup):
		return "the command does not belong to this group"
	}
	return ""
}

// countKinds returns how many of command, query and change are set in a request.
func countKinds(request *wire.ExecuteRequest) int {
	count := 0
	for _, set := range []bool{request.Command != nil, request.Query != nil, request.Change != nil} {
		if set {
			count++
		}
	}
	return count
}

// isControlCommand reports whether a command belongs to the control group.
func isControlCommand(command *wire.Command) bool {
	switch command.Kind.(type) {
	case *wire.Command_TableChange, *wire.Command_MemberUpdate, *wire.Command_FenceAcquire, *wire.Command_VersionRelease,
		*wire.Command_UsageAdd, *wire.Command_UsageSeal, *wire.Command_UsageDeliver:
		return true
	}
	return false
}

// waitInForce delays the reply to an accepted table change until the change is in force everywhere or the request times
// out. The reply carries the version in force at that time.
func (s *Server) waitInForce(ctx context.Context, request *wire.ExecuteRequest, reply *wire.ExecuteReply) {
	result := reply.Result.GetTable()
	if result.GetOutcome() != wire.TableOutcome_TABLE_OUTCOME_ACCEPTED {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout(request))
	defer cancel()
	reply.InForceVersion = s.leases.waitInForce(ctx, result.Version)
}
