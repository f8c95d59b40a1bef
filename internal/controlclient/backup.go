package controlclient

import (
	"context"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Backup returns a copy of the state of every group, from the first control node that can send it. It changes
// nothing. Errors carry the verdict DidNotRun: no known node sent a backup, or ctx has ended.
func (c *Client) Backup(ctx context.Context) (*wire.Backup, error) {
	var causes []error
	for _, address := range c.Addresses() {
		backup, err := c.backupFrom(ctx, address)
		if err == nil {
			return backup, nil
		}
		causes = append(causes, trace.Wrap(err, "control node %s", address))
	}
	return nil, verdict.Wrap(verdict.DidNotRun, trace.NewAggregate(causes...), "no control node sent a backup")
}

func (c *Client) backupFrom(ctx context.Context, address string) (*wire.Backup, error) {
	connection, err := openControl(ctx, &c.config, address)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	stream, err := wire.NewDRPCControlClient(connection).Backup(c.config.Credentials.Context(ctx), &wire.BackupRequest{})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	collected := &backupParts{backup: &wire.Backup{}}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return collected.finish()
		}
		if err != nil {
			return nil, err
		}
		if err := collected.add(part); err != nil {
			return nil, err
		}
	}
}

// backupParts assembles the parts of a backup.
type backupParts struct {
	backup          *wire.Backup
	wantGroups      uint32 // number of groups that the backup must have
	groupIncomplete bool   // the last group is incomplete: more parts of it follow
}

// add appends one part. The parts of a group must follow each other without a part of another group in between.
func (p *backupParts) add(part *wire.BackupPart) error {
	p.backup.ClusterId, p.wantGroups = part.ClusterId, part.Groups
	if !p.groupIncomplete {
		p.backup.Groups = append(p.backup.Groups, &wire.GroupBackup{Group: part.Group, Index: part.Index})
	}
	group := p.backup.Groups[len(p.backup.Groups)-1]
	if group.Group != part.Group || group.Index != part.Index {
		return trace.BadParameter("a piece of group %d came within group %d", part.Group, group.Group)
	}
	group.Data = append(group.Data, part.Data...)
	p.groupIncomplete = !part.Last
	return nil
}

// finish returns the backup, or an error if it is incomplete.
func (p *backupParts) finish() (*wire.Backup, error) {
	if p.groupIncomplete || p.wantGroups == 0 || len(p.backup.Groups) != int(p.wantGroups) {
		return nil, trace.ConnectionProblem(nil, "the backup ended after %d of %d groups", len(p.backup.Groups), p.wantGroups)
	}
	return p.backup, nil
}
