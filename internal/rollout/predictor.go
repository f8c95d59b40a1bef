package rollout

import "math/bits"

// predictorBuckets holds lengths up to 2^31 tokens.
const predictorBuckets = 32

// defaultLength is predicted, in tokens, before any sample has finished.
const defaultLength = 256

// historyDecay halves the history's weight about every 2,800 samples, so that it follows a drift.
const historyDecay = 0.99975

// predictor learns lengths over all samples of a trainer, in buckets of powers of two.
type predictor struct {
	count [predictorBuckets]float64
	total [predictorBuckets]float64
}

func bucketOf(tokens int) int {
	return min(bits.Len(uint(max(tokens, 0))), predictorBuckets-1)
}

// learn records a finished sample's length.
func (p *predictor) learn(tokens int) {
	for index := range p.count {
		p.count[index] *= historyDecay
		p.total[index] *= historyDecay
	}
	bucket := bucketOf(tokens)
	p.count[bucket]++
	p.total[bucket] += float64(tokens)
}

// above predicts a length from history, given that it exceeds generated tokens.
func (p *predictor) above(generated int) int {
	var count, total float64
	for bucket := bucketOf(generated); bucket < predictorBuckets; bucket++ {
		count += p.count[bucket]
		total += p.total[bucket]
	}
	if count < 0.5 {
		return max(defaultLength, 2*generated)
	}
	return max(int(total/count), generated+1)
}

// groupHistory is what is known about one prompt's group.
type groupHistory struct {
	finished      int
	finishedTotal int
	longestSoFar  int // tokens of the longest sample, finished or not
}

// known reports whether the group says more than the history does.
func (g *groupHistory) known() bool { return g.finished > 0 }

// predict returns the expected whole length of one sample of the group that has generated tokens so far.
// Samples of one prompt resemble each other, so the group's mean counts as much as two samples of history.
func (g *groupHistory) predict(history *predictor, generated, maxTokens int) int {
	prior := history.above(max(generated, g.longestSoFar/2))
	estimate := prior
	if g.finished > 0 {
		estimate = (g.finishedTotal*2 + prior) / (g.finished*2 + 1)
	}
	if estimate <= generated {
		estimate = history.above(generated)
	}
	if maxTokens > 0 {
		estimate = min(estimate, maxTokens)
	}
	return max(estimate, generated+1)
}
