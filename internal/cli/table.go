package cli

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/operator"
)

// tableShowCommand prints the table.
type tableShowCommand struct {
	controlAccess
	Format string `long:"format" default:"table" choice:"table" choice:"csv" choice:"json" description:"table for reading, csv for a spreadsheet, json for programs"`
	All    bool   `long:"all" description:"Show also the columns that no row sets"`
}

// Run prints the table as it is now.
func (c *tableShowCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		sheet, err := operator.ReadSheet(ctx, client)
		if err != nil {
			return err
		}
		return sheet.Write(environment.Stdout, operator.Format(c.Format), c.All)
	})
}

// changeFlags are the flags of every command that changes the table.
type changeFlags struct {
	controlAccess
	Operator    string `long:"operator" env:"TAMARINDRING_OPERATOR" description:"Who makes the change; default: the user's login name"`
	Note        string `long:"note" description:"Why; kept in the history. The word 'force' in it lets a harmful change through"`
	Wait        bool   `long:"wait" description:"Wait until the change is in force everywhere, or the timeout; late processes are listed"`
	DryRun      bool   `long:"dry-run" description:"Show what would change and stop"`
	StateFolder string `long:"state-folder" value-name:"FOLDER" description:"Where changes are kept until their answer is known"`
}

// planFunc plans a change against the current sheet.
type planFunc func(context.Context, *controlclient.Client, *operator.Sheet) (*operator.Plan, error)

// submitChange resends the pending change of the same request, if there is one. Otherwise it plans, prints and
// submits a new change. request identifies what the operator asked for; together with the operator and the note it is
// the key of the pending change.
func (c *changeFlags) submitChange(environment Environment, request string, plan planFunc) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		author, err := c.author()
		if err != nil {
			return err
		}
		submitter, err := c.submitter(client)
		if err != nil {
			return err
		}
		request = fmt.Sprintf("%s\x00%s\x00%s", author.Operator, author.Note, request)
		if !c.DryRun {
			outcome, err := submitter.ResendPending(ctx, request, c.Wait)
			if err != nil || outcome != nil {
				return c.reportOutcome(ctx, environment, client, outcome, err)
			}
		}
		sheet, err := operator.ReadSheet(ctx, client)
		if err != nil {
			return err
		}
		planned, err := plan(ctx, client, sheet)
		if err != nil {
			return err
		}
		if err := c.printPlan(environment, planned); err != nil || c.DryRun || planned.Empty() {
			return err
		}
		outcome, err := submitter.Submit(ctx, request, planned, author, c.Wait)
		return c.reportOutcome(ctx, environment, client, outcome, err)
	})
}

// author returns the operator named by the flag, or else the user's login name.
func (c *changeFlags) author() (operator.Author, error) {
	author := operator.Author{Operator: c.Operator, Note: c.Note}
	if author.Operator != "" {
		return author, nil
	}
	login, err := user.Current()
	if err != nil {
		return author, trace.BadParameter("the login name is not known; name the operator with --operator")
	}
	author.Operator = login.Username
	return author, nil
}

func (c *changeFlags) submitter(client *controlclient.Client) (*operator.Submitter, error) {
	folder := c.StateFolder
	if folder == "" {
		var err error
		if folder, err = operator.DefaultStateFolder(); err != nil {
			return nil, err
		}
	}
	pending, err := operator.NewPendingStore(folder)
	if err != nil {
		return nil, err
	}
	return &operator.Submitter{Control: client, Pending: pending}, nil
}

// printPlan prints the edits of a plan, or that there are none.
func (c *changeFlags) printPlan(environment Environment, plan *operator.Plan) error {
	if plan.Empty() {
		_, err := fmt.Fprintln(environment.Stdout, "nothing to change")
		return err
	}
	return plan.Write(environment.Stdout)
}

// reportOutcome prints the outcome of a change and returns the error for its exit code. A refused change gives
// ExitRefused. If there is no outcome, err is returned unchanged.
func (c *changeFlags) reportOutcome(ctx context.Context, environment Environment, client *controlclient.Client, outcome *operator.Outcome, err error) error {
	if outcome == nil {
		return err
	}
	if writeError := outcome.Write(environment.Stdout); writeError != nil {
		return writeError
	}
	if !outcome.Accepted() {
		return &ExitError{Code: ExitRefused, Message: "the change was refused"}
	}
	if c.Wait && outcome.InForce < outcome.Result.Version {
		return c.reportLate(ctx, environment, client, outcome)
	}
	return err
}

// reportLate prints the processes that may still act on an older version of the table.
func (c *changeFlags) reportLate(ctx context.Context, environment Environment, client *controlclient.Client, outcome *operator.Outcome) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateTimeout)
	defer cancel()
	late, err := operator.ListLateProcesses(ctx, client, outcome.Result.Version)
	if err != nil {
		return err
	}
	fmt.Fprintf(environment.Stdout, "not yet in force at: %s\n", strings.Join(late, ", "))
	return &ExitError{Code: ExitFailure, Message: "the change is accepted and not yet known to be in force everywhere"}
}

// lateTimeout bounds the query for late processes. The command's own timeout has usually passed by then.
const lateTimeout = 2 * time.Second

// tableSetCommand sets one cell.
type tableSetCommand struct {
	changeFlags
	Arguments struct {
		Row    string `positional-arg-name:"ROW"`
		Column string `positional-arg-name:"COLUMN"`
		Value  string `positional-arg-name:"VALUE"`
	} `positional-args:"true" required:"true"`
}

// Run sets the cell; an empty value clears it.
func (c *tableSetCommand) Run(environment Environment, _ []string) error {
	arguments := c.Arguments
	request := fmt.Sprintf("set\x00%s\x00%s\x00%s", arguments.Row, arguments.Column, arguments.Value)
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanSet(sheet, arguments.Row, arguments.Column, arguments.Value)
	})
}

// tableApplyCommand applies an edited sheet.
type tableApplyCommand struct {
	changeFlags
	RemoveMissing bool `long:"remove-missing" description:"Remove the rows that the file does not list"`
	Arguments     struct {
		File string `positional-arg-name:"FILE.csv"`
	} `positional-args:"true" required:"true"`
}

// Run sets the cells in which the file differs from the table, as one change.
func (c *tableApplyCommand) Run(environment Environment, _ []string) error {
	content, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: err.Error()}
	}
	file, err := operator.ReadFile(strings.NewReader(string(content)))
	if err != nil {
		return &ExitError{Code: ExitUsage, Message: fmt.Sprintf("%s: %s", c.Arguments.File, trace.UserMessage(err))}
	}
	request := fmt.Sprintf("apply\x00%t\x00%s", c.RemoveMissing, content)
	return c.submitChange(environment, request, func(_ context.Context, _ *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
		return operator.PlanFile(sheet, file, c.RemoveMissing), nil
	})
}

// tableDiffCommand compares a sheet with the table.
type tableDiffCommand struct {
	controlAccess
	RemoveMissing bool `long:"remove-missing" description:"List also the rows that the file lacks"`
	Arguments     struct {
		File string `positional-arg-name:"FILE.csv"`
	} `positional-args:"true" required:"true"`
}

// Run prints what applying the file would change. It is a dry run of the command apply.
func (c *tableDiffCommand) Run(environment Environment, _ []string) error {
	apply := tableApplyCommand{RemoveMissing: c.RemoveMissing, Arguments: c.Arguments}
	apply.controlAccess, apply.DryRun = c.controlAccess, true
	apply.StateFolder = os.TempDir() // a dry run keeps no state
	apply.Operator = "diff"
	return apply.Run(environment, nil)
}

// tableRevertCommand undoes one accepted version of the table.
type tableRevertCommand struct {
	changeFlags
	Arguments struct {
		Version uint64 `positional-arg-name:"VERSION"`
	} `positional-args:"true" required:"true"`
}

// Run restores the former value of every cell that the version set, as a new change.
func (c *tableRevertCommand) Run(environment Environment, _ []string) error {
	version := c.Arguments.Version
	return c.submitChange(environment, fmt.Sprintf("revert\x00%d", version),
		func(ctx context.Context, client *controlclient.Client, sheet *operator.Sheet) (*operator.Plan, error) {
			history, err := operator.ReadHistory(ctx, client, operator.HistoryFilter{})
			if err != nil {
				return nil, err
			}
			return operator.PlanRevert(history, sheet, version)
		})
}

// tableHistoryCommand prints the history of the table.
type tableHistoryCommand struct {
	controlAccess
	Row    string `long:"row" description:"Only this row"`
	Column string `long:"column" description:"Only this column"`
	Limit  uint32 `long:"limit" default:"50" description:"Most entries to show, newest first; 0 for all that are kept"`
	Format string `long:"format" default:"table" choice:"table" choice:"json" description:"table for reading, json for programs"`
}

// Run prints the history, newest first.
func (c *tableHistoryCommand) Run(environment Environment, _ []string) error {
	return c.withClient(environment, func(ctx context.Context, client *controlclient.Client) error {
		filter := operator.HistoryFilter{Row: c.Row, Column: c.Column, Limit: c.Limit}
		history, err := operator.ReadHistory(ctx, client, filter)
		if err != nil {
			return err
		}
		return operator.WriteHistory(environment.Stdout, history, operator.Format(c.Format))
	})
}

// tableWatchCommand prints changes of the table as they are made.
type tableWatchCommand struct {
	controlAccess
	Interval time.Duration `long:"interval" default:"500ms" description:"How often to ask"`
}

// Run prints each change as it is made, until interrupted.
func (c *tableWatchCommand) Run(environment Environment, _ []string) error {
	client, err := c.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	return toExitError(operator.Watch(environment.Context, client, environment.Stdout, c.Interval, c.Timeout))
}
