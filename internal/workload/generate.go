package workload

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// Draw returns one length, at least 1.
func (l Length) Draw(random *rand.Rand) int {
	value := l.Median * math.Exp(l.Sigma*random.NormFloat64())
	if l.TailShare > 0 && random.Float64() < l.TailShare {
		value = l.TailFrom * math.Pow(1-random.Float64(), -1/l.TailAlpha)
	}
	return int(math.Round(min(max(value, 1), float64(l.Max))))
}

// Call is one call of a source.
type Call struct {
	At           time.Duration // since the start
	Source       int           // index in Workload.Sources
	Number       uint64        // rises per source, from 1
	Prefix       int           // index of the shared prefix; -1 for none
	PromptTokens int           // of the unshared part
	OutputTokens int
	Streamed     bool
	Chat         bool
}

// Generator yields one source's calls in order of time. Equal seeds yield equal calls.
type Generator struct {
	source    Source
	index     int
	random    *rand.Rand
	next      time.Duration
	burstAt   time.Duration
	burstLeft int
	number    uint64
}

// Generators returns one generator per source of a valid workload.
func (w Workload) Generators(seed int64) []*Generator {
	var generators []*Generator
	for index, source := range w.Sources {
		made := &Generator{source: source, index: index, random: rand.New(rand.NewSource(seed + int64(index)*7919))}
		made.next = made.interval(source.Arrival.PerSecond)
		if source.Arrival.Process == ProcessBursts {
			made.burstAt = made.interval(1 / source.Arrival.BurstEvery.Seconds())
		}
		generators = append(generators, made)
	}
	return generators
}

// Next returns the next call.
func (g *Generator) Next() Call {
	g.number++
	call := Call{
		At: g.arrive(), Source: g.index, Number: g.number, Prefix: -1,
		PromptTokens: g.source.Prompt.Draw(g.random), OutputTokens: g.source.Output.Draw(g.random),
		Streamed: g.random.Float64() < g.source.StreamedShare, Chat: g.random.Float64() < g.source.ChatShare,
	}
	if g.source.Sharing.Prefixes > 0 && g.random.Float64() < g.source.Sharing.Share {
		call.Prefix = g.random.Intn(g.source.Sharing.Prefixes)
	}
	return call
}

func (g *Generator) arrive() time.Duration {
	if g.source.Arrival.Process == ProcessBursts && g.burstAt <= g.next {
		if g.burstLeft == 0 {
			g.burstLeft = g.source.Arrival.BurstSize
		}
		at := g.burstAt
		g.burstLeft--
		if g.burstLeft == 0 {
			g.burstAt += g.interval(1 / g.source.Arrival.BurstEvery.Seconds())
		}
		return at
	}
	at := g.next
	g.next += g.interval(g.source.Arrival.PerSecond)
	return at
}

func (g *Generator) interval(perSecond float64) time.Duration {
	seconds := 1 / perSecond
	if g.source.Arrival.Process != ProcessUniform {
		seconds *= g.random.ExpFloat64()
	}
	return time.Duration(seconds * float64(time.Second))
}

// PromptText returns a call's prompt: the shared prefix, words of its own, and the answer's length. run
// makes the prompts of different runs differ.
func (s Source) PromptText(call Call, run string) string {
	var prompt strings.Builder
	if call.Prefix >= 0 {
		prompt.WriteString(filler(fmt.Sprintf("%s prefix %d", s.Name, call.Prefix), s.Sharing.PrefixTokens))
	}
	identity := fmt.Sprintf("%s call %d of %s", s.Name, call.Number, run)
	prompt.WriteString(filler(identity, call.PromptTokens))
	fmt.Fprintf(&prompt, "%s [tokens=%d]", identity, call.OutputTokens)
	return prompt.String()
}

// filler returns that many words that depend on a name only.
func filler(name string, words int) string {
	request := text.Request{Prompt: name}
	generator := request.Start()
	return string(generator.Append(nil, words))
}
