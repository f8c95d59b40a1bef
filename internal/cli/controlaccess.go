package cli

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/controlclient"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/verdict"
)

// controlAccess holds the flags of every command that connects to the control nodes.
type controlAccess struct {
	Control []string      `long:"control" required:"true" value-name:"IP:PORT" env:"TAMARINDRING_CONTROL" env-delim:"," description:"Control nodes; comma list or repeated"`
	Timeout time.Duration `long:"timeout" default:"30s" description:"Longest time to wait for an answer"`
	clientOptions
}

// newClient returns a client of the control nodes; it does not connect yet.
func (a *controlAccess) newClient() (*controlclient.Client, error) {
	clientCredentials, _, err := a.openClientCredentials(logging.Discard())
	if err != nil {
		return nil, err
	}
	client, err := controlclient.New(controlclient.Config{Addresses: splitList(a.Control), Credentials: clientCredentials})
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	}
	return client, nil
}

// withClient calls work with a client of the control nodes and a context that ends after the timeout. It converts the
// error with toExitError.
func (a *controlAccess) withClient(environment Environment, work func(context.Context, *controlclient.Client) error) error {
	client, err := a.newClient()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(environment.Context, a.Timeout)
	defer cancel()
	return toExitError(work(ctx, client))
}

// toExitError gives an error its exit code, by its kind: invalid input, unknown outcome or other failure.
func toExitError(err error) error {
	var known *ExitError
	var verdictError *verdict.Error
	switch {
	case err == nil || errors.As(err, &known):
		return err
	case errors.As(err, &verdictError) && verdictError.Verdict == verdict.MayHaveRun:
		return &ExitError{Code: ExitUnknown, Message: err.Error()}
	case errors.As(err, &verdictError):
		return &ExitError{Code: ExitFailure, Message: err.Error()}
	case trace.IsBadParameter(err):
		return &ExitError{Code: ExitUsage, Message: trace.UserMessage(err)}
	default:
		return err
	}
}

// splitList splits comma lists and drops empty items.
func splitList(texts []string) []string {
	var items []string
	for _, text := range texts {
		for item := range strings.SplitSeq(text, ",") {
			if item = strings.TrimSpace(item); item != "" {
				items = append(items, item)
			}
		}
	}
	return items
}
