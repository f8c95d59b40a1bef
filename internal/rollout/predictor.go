package rollout

import "math/bits"

// Parameters of the length histogram. Each power of two is divided into four buckets, up to 2^31 tokens.
const (
	bucketBits       = 2
	predictorBuckets = 32 << bucketBits
)

// defaultLength is the predicted length in tokens before any sample has finished.
const defaultLength = 256

// historyDecay halves the weight of a sample after about 2,800 further ones, so that predictions follow a drift.
const historyDecay = 0.99975

// predictor learns the distribution of sample lengths of a trainer as a histogram with decaying weights.
type predictor struct {
	count [predictorBuckets]float64
	total [predictorBuckets]float64
	// sampleCount is the number of samples learned.
	sampleCount int
}

func bucketOf(tokens int) int {
	value := uint(max(tokens, 1))
	power := bits.Len(value) - 1
	part := value << bucketBits >> power & (1<<bucketBits - 1)
	return min(power<<bucketBits|int(part), predictorBuckets-1)
}

// learn records the length of a finished sample.
func (p *predictor) learn(tokens int) {
	for index := range p.count {
		p.count[index] *= historyDecay
		p.total[index] *= historyDecay
	}
	p.sampleCount++
	bucket := bucketOf(tokens)
	p.count[bucket]++
	p.total[bucket] += float64(tokens)
}

// expectedLength predicts the total length of a sample that has generated the given number of tokens, from all
// samples that were at least as long.
func (p *predictor) expectedLength(generated int) int {
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

// lengthExceededBy predicts the total length that only the given share of the samples longer than generated exceeds.
func (p *predictor) lengthExceededBy(generated int, share float64) int {
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
	return p.expectedLength(generated)
}

// groupHistory is the known state of the samples of one prompt.
type groupHistory struct {
	finished       int
	finishedTokens int
	longestSoFar   int // tokens of the longest sample, finished or not
}

// hasFinished reports whether a sample of the group has finished, so that the group is a better predictor than the
// history.
func (g *groupHistory) hasFinished() bool { return g.finished > 0 }

// groupLengthFactor times the mean length of its group's finished samples is a length that a sample is unlikely to
// exceed.
const groupLengthFactor = 1.5

// maxLikelyLength returns a total length that a sample of the group is unlikely to exceed. The length of the longest
// sample of the step is used while no sample of the group has finished.
func (g *groupHistory) maxLikelyLength(longest, generated, maxTokens int) int {
	most := longest
	if g.finished > 0 {
		most = max(int(groupLengthFactor*float64(g.finishedTokens)/float64(g.finished)), g.longestSoFar)
	}
	if maxTokens > 0 {
		most = min(most, maxTokens)
	}
	return max(most, generated+1)
}

// predict returns the expected total length of a sample of the group that has generated the given number of tokens.
// Samples of one prompt are similar in length, so each finished sample of the group weighs twice as much as the
// prediction from history.
func (g *groupHistory) predict(history *predictor, generated, maxTokens int) int {
	prior := history.expectedLength(max(generated, g.longestSoFar/2))
	estimate := prior
	if g.finished > 0 {
		estimate = (g.finishedTokens*2 + prior) / (g.finished*2 + 1)
	}
	if estimate <= generated {
		estimate = history.expectedLength(generated)
	}
	if maxTokens > 0 {
		estimate = min(estimate, maxTokens)
	}
	return max(estimate, generated+1)
}
