// Package slope fits straight lines to measurements at several sizes and projects them to a target size.
package slope

import (
	"math"

	"github.com/gravitational/trace"
	"gonum.org/v1/gonum/stat"
)

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Line is a least-squares fit of Value = Intercept + Slope*Size.
type Line struct {
	Quantity  string  `json:"quantity"` // what was measured
	Unit      string  `json:"unit"`     // of the value
	Per       string  `json:"per"`      // unit of the size
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Fit       float64 `json:"r_squared"` // share of the variance that the line explains; 1 is a perfect line
	Points    []Point `json:"points"`
}

// minPoints is the least number of sizes: a line through two points says nothing about the fit.
const minPoints = 3

// Fit returns the line through points.
func Fit(quantity, unit, per string, points []Point) (Line, error) {
	if len(points) < minPoints {
		return Line{}, trace.BadParameter("%s: %d sizes measured, at least %d are needed for a slope", quantity, len(points), minPoints)
	}
	sizes, values := make([]float64, len(points)), make([]float64, len(points))
	for index, point := range points {
		sizes[index], values[index] = point.Size, point.Value
	}
	line := Line{Quantity: quantity, Unit: unit, Per: per, Points: points}
	line.Intercept, line.Slope = stat.LinearRegression(sizes, values, nil, false)
	line.Fit = stat.RSquared(sizes, values, nil, line.Intercept, line.Slope)
	if math.IsNaN(line.Fit) {
		line.Fit = 1 // all values equal: the line is exact
	}
	return line, nil
}

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Extrapolated tells whether size lies outside the measured sizes.
func (l Line) Extrapolated(size float64) bool {
	for _, point := range l.Points {
		if point.Size >= size {
			return false
		}
	}
	return true
}
