package configure

import (
	"context"
	"crypto/rand"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/state"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/verdict"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// Control is the part of a client of the control nodes that this package uses.
type Control interface {
	Query(ctx context.Context, group uint32, query *wire.Query) (*wire.View, error)
	ChangeTable(ctx context.Context, change *wire.TableChange, wait bool) (*wire.TableResult, uint64, error)
}

// Importer reads configurations from the table and writes them to it.
type Importer struct {
	Control  Control
	Operator string // recorded in the table's history
	// View returns the process's own view of the table, which may lag. Reads then fetch only newer rows. If View is nil
	// or returns nil, reads fetch the whole table.
	View func() *table.View
}

func (i *Importer) read(ctx context.Context) (*table.View, error) {
	var followed *table.View
	if i.View != nil {
		followed = i.View()
	}
	return ReadView(ctx, i.Control, followed)
}

// Put writes a configuration to the table. It does nothing if the table already has the same or a higher revision. It
// returns trace.BadParameter if the configuration is invalid, in which case nothing has changed. After any other error
// it is not known whether the configuration was written, and the call should be repeated.
func (i *Importer) Put(ctx context.Context, c *Configuration) error {
	if err := Check(c); err != nil {
		return err
	}
	return i.change(ctx, c, Plan)
}

// Supplement adds cells of the table's current configuration that the table lacks, as described at the function
// Supplement.
func (i *Importer) Supplement(ctx context.Context, c *Configuration) error {
	return i.change(ctx, c, Supplement)
}

// change applies the change that plan returns, if any. After a conflict it reads the table and plans again.
func (i *Importer) change(ctx context.Context, c *Configuration, plan func(*table.View, *Configuration) (*wire.TableChange, error)) error {
	for {
		view, err := i.read(ctx)
		if err != nil {
			return err
		}
		change, err := plan(view, c)
		if err != nil || change == nil {
			return err
		}
		change.ChangeId, change.Operator = rand.Text(), i.Operator
		result, _, err := i.Control.ChangeTable(ctx, change, false)
		if err != nil {
			return trace.Wrap(err)
		}
		switch result.GetOutcome() {
		case wire.TableOutcome_TABLE_OUTCOME_ACCEPTED:
			return nil
		case wire.TableOutcome_TABLE_OUTCOME_CONFLICT:
			continue // another change was applied first; plan again on the new table
		}
		return trace.BadParameter("%s", formatRefusals(result))
	}
}

// Get returns the current configuration by a linearizable read. The revision is 0 if there is none yet.
func (i *Importer) Get(ctx context.Context) (revision uint64, text string, err error) {
	view, err := i.read(ctx)
	if err != nil {
		return 0, "", err
	}
	revision, text = StoredConfiguration(view)
	return revision, text, nil
}

// ReadView returns the current table by a linearizable read. followed is a view that the process already has, or nil.
// Only rows newer than followed are fetched, which matters if the table lists thousands of back ends.
func ReadView(ctx context.Context, control Control, followed *table.View) (*table.View, error) {
	if followed == nil {
		followed = table.NewView()
	}
	query := &wire.TableQuery{KnownVersion: followed.Version()}
	answer, err := control.Query(ctx, state.ControlGroup, &wire.Query{Kind: &wire.Query_Table{Table: query}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if answer.GetTable() == nil {
		return nil, verdict.New(verdict.DidNotRun, "the control group answered without a table")
	}
	return followed.Apply(answer.GetTable())
}

// formatRefusals joins the reasons of a result's refusals.
func formatRefusals(result *wire.TableResult) string {
	texts := make([]string, 0, len(result.GetRefusals()))
	for _, refusal := range result.GetRefusals() {
		texts = append(texts, refusal.GetRow()+" "+refusal.GetColumn()+": "+refusal.GetReason())
	}
	return strings.Join(texts, "; ")
}
