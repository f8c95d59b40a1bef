package gateway

import (
	"strconv"
	"time"
)

// stage is a phase of a request at the gateway, for timing.
type stage uint8

// The stages in the order in which a request passes them.
const (
	stageQueue   stage = iota // waiting for a slot
	stageClaim                // ledger commands before the answer
	stageConnect              // connecting to the back end
	stageBackend              // from the first byte sent to the header of the answer
	stageCount
)

var stageNames = [stageCount]string{"queue", "claim", "connect", "backend"}

// stages holds the accumulated time of each stage.
type stages [stageCount]time.Duration

func (s *stages) add(which stage, spent time.Duration) { s[which] += spent }

// header returns the value of the Server-Timing header, in milliseconds.
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
