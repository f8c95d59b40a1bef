package gateway

import (
	"strconv"
	"time"
)

// stage is a part of a request's time at the gateway.
type stage uint8

// The stages, in the order of a request's life.
const (
	stageQueue   stage = iota // waiting for a slot
	stageClaim                // ledger commands before the answer
	stageConnect              // connecting to the back end
	stageBackend              // from the first byte sent to the answer's header
	stageCount
)

var stageNames = [stageCount]string{"queue", "claim", "connect", "backend"}

// stages adds up the time of each stage.
type stages [stageCount]time.Duration

func (s *stages) add(which stage, spent time.Duration) { s[which] += spent }

// header returns the value of Server-Timing, in milliseconds.
func (s *stages) header(total time.Duration) string {
	out := make([]byte, 0, 96)
	for which, spent := range s {
		if spent <= 0 {
			continue
		}
		out = appendTiming(out, stageNames[which], spent)
		out = append(out, ", "...)
	}
	return string(appendTiming(out, "total", total))
}

func appendTiming(out []byte, name string, spent time.Duration) []byte {
	out = append(out, name...)
	out = append(out, ";dur="...)
	return strconv.AppendFloat(out, float64(spent)/float64(time.Millisecond), 'f', 3, 64)
}
