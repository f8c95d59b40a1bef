// Package text generates and checks the answers of the model engine stand-ins. A token is one word with a trailing
// space, and the first word of an answer is capitalized. Each token is a function of all bytes of the context before
// it. A replica that gets the prompt and a generated prefix therefore continues exactly as the uninterrupted answer,
// and a test that knows the request can compute the expected answer.
package text

import (
	"encoding/binary"
	"encoding/hex"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
)

// DefaultMaxTokens limits the tokens of an answer if the request has no max_tokens.
const DefaultMaxTokens = 4096

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixer     = 0x9e3779b97f4a7c15 // the increment of splitmix64

	directivePrefix = "[tokens="
	directiveSuffix = "]"
)

// Lengths of answers to prompts without a [tokens=N] directive. They are lognormal, which gives a long tail, around a
// median that each prompt draws for itself, so that the samples of one prompt have similar lengths.
const (
	medianTokens     = 96
	promptSpread     = 0.7 // sigma of the logarithm between prompts
	sampleSpread     = 0.5 // sigma of the logarithm between samples of one prompt
	smallestDrawn    = 4
	largestDrawn     = 16384
	promptLengthSalt = 0x51ed270b
	sampleLengthSalt = 0x2545f491
)

// Request holds everything that determines an answer.
type Request struct {
	Prompt    string // the original prompt, without any generated continuation
	Seed      uint64 // distinguishes samples of one prompt; 0 is the default answer
	MaxTokens int    // limit of the whole answer, including a continuation's prefix; 0 means DefaultMaxTokens
}

// Generator generates the tokens of one answer in order.
type Generator struct {
	state   uint64
	started bool
}

// Start returns a generator whose next token is the first of the answer.
func (r Request) Start() Generator {
	return Generator{state: hashBytes(fnvOffset^mix(r.Seed*mixer), r.Prompt)}
}

// Skip advances the generator past text that was generated before.
func (g *Generator) Skip(generated string) {
	g.state = hashBytes(g.state, generated)
	g.started = g.started || generated != ""
}

// Append appends the next count tokens to buffer.
func (g *Generator) Append(buffer []byte, count int) []byte {
	for ; count > 0; count-- {
		word := words[mix(g.state)%uint64(len(words))]
		start := len(buffer)
		buffer = append(buffer, word...)
		if !g.started {
			buffer[start] -= 'a' - 'A'
			g.started = true
		}
		g.state = hashBytes(g.state, buffer[start:])
	}
	return buffer
}

// Length returns the number of tokens of the whole answer and whether MaxTokens truncated it.
func (r Request) Length() (tokens int, truncated bool) {
	limit := r.MaxTokens
	if limit <= 0 {
		limit = DefaultMaxTokens
	}
	wanted, ok := parseDirective(r.Prompt)
	if !ok {
		wanted = r.drawLength()
	}
	if wanted > limit {
		return limit, true
	}
	return wanted, false
}

// Digest returns the hash of prompt and seed, which binds a checksum to its request.
func (r Request) Digest() uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], r.Seed)
	digest := xxhash.New()
	_, _ = digest.WriteString(r.Prompt)
	_, _ = digest.Write(seed[:])
	return digest.Sum64()
}

// Text returns the whole answer to the request.
func (r Request) Text() string {
	tokens, _ := r.Length()
	generator := r.Start()
	return string(generator.Append(make([]byte, 0, tokens*tokenBytes), tokens))
}

// ExpectedText returns the whole answer to prompt with seed 0.
func ExpectedText(prompt string, maxTokens int) string {
	return Request{Prompt: prompt, MaxTokens: maxTokens}.Text()
}

// Checksum returns the checksum of a whole answer in hex: xxhash64 over the request's digest (eight bytes, little
// endian) followed by the content.
func (r Request) Checksum(content string) string {
	checksum := NewChecksum(r)
	checksum.Write(content)
	return checksum.Sum()
}

// Checksum returns the checksum of a whole answer to prompt with seed 0.
func Checksum(prompt, content string) string { return Request{Prompt: prompt}.Checksum(content) }

// ChecksumWriter computes the checksum of an answer that arrives in parts.
type ChecksumWriter struct {
	digest *xxhash.Digest
}

// NewChecksum starts the checksum of an answer to r.
func NewChecksum(r Request) ChecksumWriter {
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], r.Digest())
	digest := xxhash.New()
	_, _ = digest.Write(head[:])
	return ChecksumWriter{digest: digest}
}

// Write adds the next part of the content.
func (c ChecksumWriter) Write(part string) { _, _ = c.digest.WriteString(part) }

// WriteBytes adds the next part of the content.
func (c ChecksumWriter) WriteBytes(part []byte) { _, _ = c.digest.Write(part) }

// Sum returns the checksum of the parts written so far as 16 hex digits.
func (c ChecksumWriter) Sum() string {
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], c.digest.Sum64())
	return hex.EncodeToString(sum[:])
}

// CountTokens returns the number of tokens in content.
func CountTokens(content string) int { return len(strings.Fields(content)) }

// SplitContinuation splits prompt into the original prompt and its last count words, which were generated before. The
// capital of an answer's first word marks where the answer begins, even if the original prompt ends in letters. A
// prompt that does not end in count generated words gets a BadParameter error.
func SplitContinuation(prompt string, count int) (original, generated string, err error) {
	if count == 0 {
		return prompt, "", nil
	}
	position := len(prompt)
	for found := 0; found < count; found++ {
		if position == 0 || prompt[position-1] != ' ' {
			return "", "", trace.BadParameter("prefix_tokens is %d but the prompt ends in %d generated words", count, found)
		}
		position--
		for position > 0 && isLower(prompt[position-1]) {
			position--
		}
	}
	if position == 0 || !isUpper(prompt[position-1]) {
		return "", "", trace.BadParameter("the last %d words of the prompt are not the beginning of an answer", count)
	}
	position--
	return prompt[:position], prompt[position:], nil
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// RenderChat returns the prompt for a chat. If continued is set, the last message must be the assistant's and hold the
// continuation generated so far, with which the prompt then ends. Another last message gets a BadParameter error.
func RenderChat(messages []Message, continued bool) (string, error) {
	var prompt strings.Builder
	last := len(messages)
	if continued {
		if last == 0 || messages[last-1].Role != "assistant" {
			return "", trace.BadParameter("a continued chat must end in the assistant's message")
		}
		last--
	}
	for _, message := range messages[:last] {
		prompt.WriteString("<" + message.Role + ">" + message.Content + "\n")
	}
	prompt.WriteString("<assistant>")
	if continued {
		prompt.WriteString(messages[last].Content)
	}
	return prompt.String(), nil
}

func isLower(b byte) bool { return b >= 'a' && b <= 'z' }

func isUpper(b byte) bool { return b >= 'A' && b <= 'Z' }

// parseDirective returns N of the first [tokens=N] in prompt, or false if there is none or N is not a positive integer.
func parseDirective(prompt string) (int, bool) {
	_, rest, found := strings.Cut(prompt, directivePrefix)
	if !found {
		return 0, false
	}
	number, _, found := strings.Cut(rest, directiveSuffix)
	if !found {
		return 0, false
	}
	tokens, err := strconv.Atoi(number)
	if err != nil || tokens < 1 {
		return 0, false
	}
	return tokens, true
}

// drawLength returns the pseudo-random length of an answer to a prompt without a directive.
func (r Request) drawLength() int {
	promptHash := hashBytes(fnvOffset, r.Prompt)
	logarithm := math.Log(medianTokens) +
		promptSpread*gaussian(promptHash^promptLengthSalt) +
		sampleSpread*gaussian(promptHash^mix(r.Seed+sampleLengthSalt))
	tokens := int(math.Exp(logarithm))
	return min(max(tokens, smallestDrawn), largestDrawn)
}

// gaussian maps a hash to a standard normal variate (Box-Muller transform).
func gaussian(hash uint64) float64 {
	first := float64(mix(hash)>>11)/(1<<53) + 1e-12
	second := float64(mix(hash+mixer)>>11) / (1 << 53)
	return math.Sqrt(-2*math.Log(first)) * math.Cos(2*math.Pi*second)
}

// hashBytes continues an FNV-1a hash.
func hashBytes[T string | []byte](state uint64, content T) uint64 {
	for index := 0; index < len(content); index++ {
		state = (state ^ uint64(content[index])) * fnvPrime
	}
	return state
}

// mix is the finalizer of splitmix64. The low bits of FNV alone are too regular to select words by.
func mix(value uint64) uint64 {
	value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9
	value = (value ^ (value >> 27)) * 0x94d049bb133111eb
	return value ^ (value >> 31)
}

// PrefixHashes returns the number of tokens in a context, counted as words separated by white space, and the chained
// hash of each whole block of blockTokens tokens.
func PrefixHashes(context string, blockTokens int) (tokens int, hashes []uint64) {
	state := uint64(fnvOffset)
	inWord := false
	for index := 0; index < len(context); index++ {
		space := context[index] == ' ' || context[index] == '\n' || context[index] == '\t'
		if inWord && space {
			tokens++
			if tokens%blockTokens == 0 {
				hashes = append(hashes, mix(state))
			}
		}
		inWord = !space
		state = (state ^ uint64(context[index])) * fnvPrime
	}
	if inWord {
		tokens++
	}
	return tokens, hashes
}
