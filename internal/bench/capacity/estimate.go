package capacity

import (
	"fmt"
	"math"

	"github.com/tamarindring/tamarindring/internal/bench/slope"
)

// Estimate is a quantity at a size, read off a fitted line.
type Estimate struct {
	Value float64
	// Beyond is the size over the largest measured one; above 1 the value is extrapolated.
	Beyond float64
	// Origin says where a value comes from that was not read off a line; empty otherwise.
	Origin string
}

// at reads a quantity off its line.
func (r *Report) at(quantity string, size float64) Estimate {
	line := r.Line(quantity)
	return Estimate{Value: max(line.At(size), 0), Beyond: beyond(line, size)}
}

// measured reads a quantity that need not grow in a line: the measured point at a size where there is one.
func (r *Report) measured(quantity string, size float64) Estimate {
	for _, point := range r.Line(quantity).Points {
		if point.Size == size {
			return Estimate{Value: point.Value, Beyond: 1}
		}
	}
	return r.at(quantity, size)
}

// each is a quantity for one more of its size, without the part that does not grow.
func (r *Report) each(quantity string, count float64) Estimate {
	line := r.Line(quantity)
	return Estimate{Value: max(line.Slope*count, 0), Beyond: beyond(line, count)}
}

func beyond(line slope.Line, size float64) float64 {
	largest := 0.0
	for _, point := range line.Points {
		largest = max(largest, point.Size)
	}
	if largest == 0 {
		return math.Inf(1)
	}
	return size / largest
}

// plus adds estimates; the sum is as far beyond what was measured as its farthest part.
func (e Estimate) plus(others ...Estimate) Estimate {
	for _, other := range others {
		e.Value += other.Value
		e.Beyond = max(e.Beyond, other.Beyond)
	}
	return e
}

// times scales an estimate by a factor that is known, not measured.
func (e Estimate) times(factor float64) Estimate {
	e.Value *= factor
	return e
}

// measuredUpTo is how far beyond the largest size an estimate still counts as measured: rounding.
const measuredUpTo = 1.05

// Basis says whether the estimate lies within the measured sizes.
func (e Estimate) Basis() string {
	if e.Origin != "" {
		return e.Origin
	}
	if e.Beyond <= measuredUpTo {
		return "measured"
	}
	if math.IsInf(e.Beyond, 1) {
		return "not measured"
	}
	return fmt.Sprintf("extrapolated %sx", number(e.Beyond))
}

// number prints a value with three significant digits and no exponent.
func number(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude == 0:
		return "0"
	case magnitude >= 100 || value == math.Trunc(value):
		return grouped(math.Round(value))
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 1:
		return fmt.Sprintf("%.2f", value)
	case magnitude >= 0.0001:
		digits := 2 - int(math.Floor(math.Log10(magnitude)))
		return fmt.Sprintf("%.*f", digits, value)
	default:
		return fmt.Sprintf("%.2e", value)
	}
}

// grouped prints a whole number with commas between its thousands.
func grouped(value float64) string {
	digits := fmt.Sprintf("%.0f", math.Abs(value))
	for at := len(digits) - 3; at > 0; at -= 3 {
		digits = digits[:at] + "," + digits[at:]
	}
	if value < 0 {
		return "-" + digits
	}
	return digits
}

// bytesText prints a number of bytes in decimal units.
func bytesText(value float64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e12, "TB"}, {1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
		if math.Abs(value) >= unit.size {
			return number(value/unit.size) + " " + unit.name
		}
	}
	return number(value) + " B"
}

// coresText prints processor time as cores, or as a share of one.
func coresText(value float64) string {
	if value >= 1 {
		return number(value) + " cores"
	}
	return number(100*value) + "% of a core"
}
