package control

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

const (
	backupPartBytes = 512 << 10
	backupPoll      = 10 * time.Millisecond
)

// Backup implements wire.DRPCControlServer. It sends the state of every group. The state of each group covers
// everything committed before the request, but the groups are not captured at the same instant.
func (s *Server) Backup(_ *wire.BackupRequest, stream wire.DRPCControl_BackupStream) error {
	for group := uint32(0); int(group) <= s.config.LedgerGroups; group++ {
		index, data, err := s.capture(stream.Context(), group)
		if err != nil {
			return trace.Wrap(err, "group %d can't be copied", group)
		}
		if err := s.sendState(stream, group, index, data); err != nil {
			return err
		}
	}
	s.log.Info("sent a backup")
	return nil
}

// capture returns a group's state once this node has applied everything that was committed at the time of the call. The
// commit point comes from a linearizable query: a status request would return the answering node's own view, which may
// be out of date.
func (s *Server) capture(ctx context.Context, group uint32) (uint64, []byte, error) {
	view, err := s.client.Query(ctx, group, &wire.Query{Kind: &wire.Query_Claim{Claim: &wire.ClaimQuery{}}})
	if err != nil {
		return 0, nil, err
	}
	for {
		status, err := s.replicas.Status(ctx, group)
		if err != nil {
			return 0, nil, err
		}
		if status.Applied >= view.GetClaim().GetIndex() {
			return s.replicas.Capture(ctx, group)
		}
		select {
		case <-ctx.Done():
			return 0, nil, ctx.Err()
		case <-time.After(backupPoll):
		}
	}
}

func (s *Server) sendState(stream wire.DRPCControl_BackupStream, group uint32, index uint64, data []byte) error {
	for {
		piece := data[:min(len(data), backupPartBytes)]
		data = data[len(piece):]
		part := &wire.BackupPart{ClusterId: s.config.ClusterID, Group: group, Groups: uint32(s.config.LedgerGroups) + 1,
			Index: index, Data: piece, Last: len(data) == 0}
		if err := stream.Send(part); err != nil || part.Last {
			return err
		}
	}
}
