package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// The fitted quantities of durable claims: one claim is begun and finished, two commands. Values are of
// all control nodes together.
const (
	ClaimCores = "durable claims: processor time of the control nodes"
	ClaimBytes = "durable claims: traffic of the control nodes"
	ClaimDisk  = "durable claims: disk writes of the control nodes"
)

// claimRates are the measured rates, claims a second.
func claimRates() []int { return []int{250, 500, 1000, 2000} }

// answerBytes is the size of a stored answer: that of a delivery call's.
const answerBytes = 200

func (r *run) claims(ctx context.Context, folder string) error {
	group, err := startLedgerGroup(folder)
	if err != nil {
		return err
	}
	defer group.close()
	if _, err := group.load(ctx, claimRates()[0], 0, claimJob(group, "warm")); err != nil {
		return err
	}
	result := &Ledger{Nodes: controlNodes, Groups: ledgerGroups}
	for _, rate := range claimRates() {
		count := int(float64(rate) * r.config.PerPoint.Seconds())
		point, err := group.load(ctx, count, rate, claimJob(group, fmt.Sprint("rate-", rate)))
		if err != nil {
			return err
		}
		result.Points = append(result.Points, point)
	}
	rate := func(p LedgerPoint) float64 { return p.PerSecond }
	for _, quantity := range []struct {
		name, unit string
		value      func(LedgerPoint) float64
	}{
		{ClaimCores, "cores", func(p LedgerPoint) float64 { return p.ControlCores }},
		{ClaimBytes, "bytes/s", func(p LedgerPoint) float64 { return p.ControlBytes / p.Seconds }},
		{ClaimDisk, "bytes/s", func(p LedgerPoint) float64 { return p.DiskBytes / p.Seconds }},
	} {
		line, err := fitPoints(quantity.name, quantity.unit, "claim/s", result.Points, rate, quantity.value)
		if err != nil {
			return err
		}
		result.Lines = append(result.Lines, line)
	}
	r.report.Claims = result
	return nil
}

// claimJob begins and finishes one claim of a key that is used once.
func claimJob(group *ledgerGroup, prefix string) func(context.Context, int) error {
	return func(ctx context.Context, n int) error {
		key := fmt.Sprintf("%s/%08d", prefix, n)
		begin, finish := claimCommands(key, time.Now().UnixMilli())
		result, err := group.execute(ctx, key, begin)
		if err != nil {
			return err
		}
		if state := result.GetClaim().GetState(); state != wire.ClaimState_CLAIM_STATE_GRANTED {
			return trace.CompareFailed("the claim of %s is %v", key, state)
		}
		_, err = group.execute(ctx, key, finish)
		return err
	}
}

// claimCommands are the two commands of one claim's life.
func claimCommands(key string, now int64) (begin, finish *wire.Command) {
	hash := sha256.Sum256([]byte(key))
	attempt := key + "#1"
	begin = &wire.Command{Kind: &wire.Command_ClaimBegin{ClaimBegin: &wire.ClaimBegin{
		Key: key, BodyHash: hash[:], Owner: "gateway-001#1", Attempt: attempt, NowUnixMillis: now}}}
	finish = &wire.Command{Kind: &wire.Command_ClaimFinish{ClaimFinish: &wire.ClaimFinish{
		Key: key, Attempt: attempt, Outcome: wire.ClaimState_CLAIM_STATE_DONE, NowUnixMillis: now,
		Answer: &wire.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, answerBytes)}}}}
	return begin, finish
}
