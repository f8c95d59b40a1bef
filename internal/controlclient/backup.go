package controlclient

import (
	"context"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Backup copies the state of every group from the first control node that can send it. Errors: none of the
// known nodes could, or ctx has ended; nothing was changed then.
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
			return collected.whole()
		}
		if err != nil {
			return nil, err
		}
		if err := collected.add(part); err != nil {
			return nil, err
		}
	}
}

// backupParts puts the pieces of a backup together.
type backupParts struct {
	backup *wire.Backup
	groups uint32 // wanted
	open   bool   // the last group's pieces go on
}

func (p *backupParts) add(part *wire.BackupPart) error {
	p.backup.ClusterId, p.groups = part.ClusterId, part.Groups
	if !p.open {
		p.backup.Groups = append(p.backup.Groups, &wire.GroupBackup{Group: part.Group, Index: part.Index})
	}
	group := p.backup.Groups[len(p.backup.Groups)-1]
	if group.Group != part.Group || group.Index != part.Index {
		return trace.BadParameter("a piece of group %d came within group %d", part.Group, group.Group)
	}
	group.Data = append(group.Data, part.Data...)
	p.open = !part.Last
	return nil
}

func (p *backupParts) whole() (*wire.Backup, error) {
	if p.open || p.groups == 0 || len(p.backup.Groups) != int(p.groups) {
		return nil, trace.ConnectionProblem(nil, "the backup ended after %d of %d groups", len(p.backup.Groups), p.groups)
	}
	return p.backup, nil
}
