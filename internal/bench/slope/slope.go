// Package slope fits straight lines to measurements that were taken at several sizes, in order to project them to a
// target size.
package slope

import (
	"math"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
)

// Point is a value measured at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a least-squares fit of Value = Intercept + Slope*Size to Points.
type Line struct {
	Quantity  string  `json:"quantity"` // name of the measured quantity
	Unit      string  `json:"unit"`     // unit of Value
	SizeUnit  string  `json:"per"`      // unit of Size
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	RSquared  float64 `json:"r_squared"` // share of the variance that the line explains; 1 means that all points lie on the line
	Points    []Point `json:"points"`
}

// minPoints is the minimum number of points. Any two points lie on a line, so that RSquared would say nothing.
const minPoints = 3

// Fit returns the least-squares line through points. It fails when there are fewer than three. The names of the
// quantity and of the units of value and size are copied into the result.
func Fit(quantity, unit, sizeUnit string, points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, trace.BadParameter("%s: %d sizes measured, at least %d are needed for a slope", quantity, len(points), minPoints)
	}
	sizes, values := make([]float64, len(points)), make([]float64, len(points))
	for index, point := range points {
		sizes[index], values[index] = point.Size, point.Value
	}
	line := Line{Quantity: quantity, Unit: unit, SizeUnit: sizeUnit, Points: points}
	line.Intercept, line.Slope = stat.LinearRegression(sizes, values, nil, false)
	line.RSquared = stat.RSquared(sizes, values, nil, line.Intercept, line.Slope)
	if math.IsNaN(line.RSquared) {
		line.RSquared = 1 // the variance is 0 when all values are equal, and the line is exact then
	}
	return line, nil
}

// At returns the line's value at the given size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// IsExtrapolation reports whether size is larger than every measured size.
func (l Line) IsExtrapolation(size float64) bool {
	for _, point := range l.Points {
		if point.Size >= size {
			return false
		}
	}
	return true
}
