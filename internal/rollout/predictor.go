package rollout

import "math/bits"

// Buckets of lengths: each power of two is cut into four, up to 2^31 tokens.
const (
	bucketBits       = 2
	predictorBuckets = 32 << bucketBits
)

// defaultLength is predicted, in tokens, before any sample has finished.
const defaultLength = 256

// historyDecay halves the history's weight about every 2,800 samples, so that it follows a drift.
const historyDecay = 0.99975

// predictor learns lengths over all samples of a trainer, in buckets.
type predictor struct {
	count [predictorBuckets]float64
	total [predictorBuckets]float64
	// learned counts the samples.
	learned int
}

func bucketOf(tokens int) int {
	value := uint(max(tokens, 1))
	power := bits.Len(value) - 1
	part := value << bucketBits >> power & (1<<bucketBits - 1)
	return min(power<<bucketBits|int(part), predictorBuckets-1)
}

// learn records a finished sample's length.
func (p *predictor) learn(tokens int) {
	for index := range p.count {
		p.count[index] *= historyDecay
		p.total[index] *= historyDecay
	}
	p.learned++
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

// upper predicts a length that only the given share of those that exceed generated tokens surpasses.
func (p *predictor) upper(generated int, share float64) int {
	lowest := bucketOf(generated)
	count := 0.0
	for bucket := lowest; bucket < predictorBuckets; bucket++ {
		count += p.count[bucket]
	}
	if count < 0.5 {
		return max(defaultLength, 2*generated)
	}
	left := count * share
	for bucket := predictorBuckets - 1; bucket > lowest; bucket-- {
		if p.count[bucket] <= 0 {
			continue
		}
		left -= p.count[bucket]
		if left <= 0 {
			return max(int(p.total[bucket]/p.count[bucket]), generated+1)
		}
	}
	return p.above(generated)
}

// groupHistory is what is known about one prompt's group.
type groupHistory struct {
	finished      int
	finishedTotal int
	longestSoFar  int // tokens of the longest sample, finished or not
}

// known reports whether the group says more than the history does.
func (g *groupHistory) known() bool { return g.finished > 0 }

// groupMargin is how much longer than the mean of its group's finished samples a sample may be.
const groupMargin = 1.5

// mayReach returns a length that a sample of the group hardly surpasses; longest is that of the whole step.
func (g *groupHistory) mayReach(longest, generated, maxTokens int) int {
	most := longest
	if g.finished > 0 {
		most = max(int(groupMargin*float64(g.finishedTotal)/float64(g.finished)), g.longestSoFar)
	}
	if maxTokens > 0 {
		most = min(most, maxTokens)
	}
	return max(most, generated+1)
}

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
