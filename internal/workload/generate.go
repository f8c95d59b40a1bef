package workload

import (
	"fmt"
	"math"
	"math/rand"
	"strings"
	"time"

	"github.com/tamarindring/tamarindring/internal/engine/text"
)

// Draw returns a random length in tokens, between 1 and l.Max.
func (l Length) Draw(random *rand.Rand) int {
	value := l.Median * math.Exp(l.Sigma*random.NormFloat64())
	if l.TailShare > 0 && random.Float64() < l.TailShare {
		value = l.TailFrom * math.Pow(1-random.Float64(), -1/l.TailAlpha)
	}
	return int(math.Round(min(max(value, 1), float64(l.Max))))
}

// Call is one call of a source.
type Call struct {
	At           time.Duration // intended start, relative to the start of the run
	Source       int           // index in Workload.Sources
	Number       uint64        // counts the source's calls, from 1
	Prefix       int           // index of the shared prefix, -1 for none
	PromptTokens int           // length of the unshared part of the prompt
	OutputTokens int
	Streamed     bool
	Chat         bool
}

// Generator generates the calls of one source in order of time. Equal seeds generate equal calls.
type Generator struct {
	source         Source
	index          int
	random         *rand.Rand
	nextAt         time.Duration
	burstAt        time.Duration
	burstRemaining int
	lastNumber     uint64
}

// Generators returns one generator per source. The workload must be valid.
func (w Workload) Generators(seed int64) []*Generator {
	var generators []*Generator
	for index, source := range w.Sources {
		generator := &Generator{source: source, index: index, random: rand.New(rand.NewSource(seed + int64(index)*7919))}
		generator.nextAt = generator.drawInterval(source.Arrival.PerSecond)
		if source.Arrival.Process == ProcessBursts {
			generator.burstAt = generator.drawInterval(1 / source.Arrival.BurstEvery.Seconds())
		}
		generators = append(generators, generator)
	}
	return generators
}

// Next returns the next call. The sequence is unlimited.
func (g *Generator) Next() Call {
	g.lastNumber++
	call := Call{
		At: g.nextArrival(), Source: g.index, Number: g.lastNumber, Prefix: -1,
		PromptTokens: g.source.Prompt.Draw(g.random), OutputTokens: g.source.Output.Draw(g.random),
		Streamed: g.random.Float64() < g.source.StreamedShare, Chat: g.random.Float64() < g.source.ChatShare,
	}
	if g.source.Sharing.Prefixes > 0 && g.random.Float64() < g.source.Sharing.Share {
		call.Prefix = g.random.Intn(g.source.Sharing.Prefixes)
	}
	return call
}

func (g *Generator) nextArrival() time.Duration {
	if g.source.Arrival.Process == ProcessBursts && g.burstAt <= g.nextAt {
		if g.burstRemaining == 0 {
			g.burstRemaining = g.source.Arrival.BurstSize
		}
		at := g.burstAt
		g.burstRemaining--
		if g.burstRemaining == 0 {
			g.burstAt += g.drawInterval(1 / g.source.Arrival.BurstEvery.Seconds())
		}
		return at
	}
	at := g.nextAt
	g.nextAt += g.drawInterval(g.source.Arrival.PerSecond)
	return at
}

func (g *Generator) drawInterval(perSecond float64) time.Duration {
	seconds := 1 / perSecond
	if g.source.Arrival.Process != ProcessUniform {
		seconds *= g.random.ExpFloat64()
	}
	return time.Duration(seconds * float64(time.Second))
}

// PromptText returns a call's prompt, which consists of the shared prefix, text unique to the call and the requested
// answer length. runName makes the prompts of different runs differ.
func (s Source) PromptText(call Call, runName string) string {
	var prompt strings.Builder
	if call.Prefix >= 0 {
		prompt.WriteString(fillerText(fmt.Sprintf("%s prefix %d", s.Name, call.Prefix), s.Sharing.PrefixTokens))
	}
	identity := fmt.Sprintf("%s call %d of %s", s.Name, call.Number, runName)
	prompt.WriteString(fillerText(identity, call.PromptTokens))
	fmt.Fprintf(&prompt, "%s [tokens=%d]", identity, call.OutputTokens)
	return prompt.String()
}

// fillerText returns text with the given number of words. The text depends only on name.
func fillerText(name string, words int) string {
	request := text.Request{Prompt: name}
	generator := request.Start()
	return string(generator.Append(nil, words))
}
