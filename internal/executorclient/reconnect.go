package executorclient

import (
	"context"
	"errors"
	"time"

	"github.com/tamarindring/tamarindring/internal/events"
	"github.com/tamarindring/tamarindring/internal/logging"
	"github.com/tamarindring/tamarindring/internal/pause"
)

const (
	// reconnectTimeout is how long runs wait for a broken stream to be reopened. It suffices to reopen a connection
	// that was reset. A process that was killed takes longer to return.
	reconnectTimeout = 400 * time.Millisecond
	// retryPause is the first pause between attempts to open a stream. It doubles up to maximumRetryPause.
	retryPause        = 20 * time.Millisecond
	maximumRetryPause = time.Second
)

// streamEnd describes how an attempt to open and follow a stream ended.
type streamEnd struct {
	greeted  bool // the executor accepted the stream
	reported bool // at least one report was received on it
	cause    error
}

// run keeps the stream open until ctx ends.
func (l *link) run(ctx context.Context) {
	defer l.loseAll(ErrLost)
	wait := retryPause
	for ctx.Err() == nil {
		ended := l.openAndFollow(ctx, ctx)
		l.surveyed.Store(true)
		reported := ended.reported
		if ended.greeted {
			reported = l.reconnect(ctx, ended) || reported
		}
		if reported {
			wait = retryPause
		}
		if pause.For(ctx, wait) != nil {
			return
		}
		wait = min(2*wait, maximumRetryPause)
	}
}

// reconnect reopens a broken stream as long as each new one delivers a report. Once one does not within
// reconnectTimeout, it gives up the runs followed on the stream and returns. It reports whether any of the reopened
// streams delivered a report.
func (l *link) reconnect(ctx context.Context, last streamEnd) (reported bool) {
	cause := last.cause
	for {
		last = l.reconnectOnce(ctx, last)
		if !last.reported {
			break
		}
		reported, cause = true, last.cause
	}
	if ctx.Err() != nil {
		return reported // not a loss of the executor: the term is over, or the executor left the membership
	}
	lost := l.loseAll(errors.Join(ErrLost, cause))
	logging.Emit(l.fleet.config.Log, &events.ExecutorLost{Executor: l.peer.Name, Runs: lost, Cause: events.ErrorText(cause)})
	return reported
}

// reconnectOnce reopens the stream and follows it, until a stream has delivered a report, the executor rejects the
// leader, or reconnectTimeout has passed. The first attempt is immediate if the last stream delivered a report.
// All other attempts follow a pause of retryPause. Without it, an executor that accepts the leader and fails right
// afterwards would be contacted in a busy loop.
func (l *link) reconnectOnce(ctx context.Context, last streamEnd) streamEnd {
	limited, cancel := context.WithTimeout(ctx, reconnectTimeout)
	defer cancel()
	wait := retryPause
	if last.reported {
		wait = 0
	}
	for pause.For(limited, wait) == nil {
		last = l.openAndFollow(ctx, limited)
		if last.reported || errors.Is(last.cause, errRefused) || errors.Is(last.cause, errProtocol) {
			return last
		}
		wait = retryPause
	}
	return streamEnd{cause: last.cause}
}

// openAndFollow opens a stream before opening ends, and follows it until it breaks or ctx ends.
func (l *link) openAndFollow(ctx, opening context.Context) streamEnd {
	stream, conn, welcome, err := l.openStream(opening)
	if err != nil {
		return streamEnd{cause: err}
	}
	reported, err := l.followStream(ctx, stream, conn, welcome)
	return streamEnd{greeted: true, reported: reported, cause: err}
}
