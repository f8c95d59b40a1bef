package slope

import (
	"math"
	"testing"
)

// TestFitReturnsTheLeastSquaresLine guards against wrong coefficients and projections. The points lie on one line.
func TestFitReturnsTheLeastSquaresLine(t *testing.T) {
	line, err := Fit("bytes", "B", "node", []Point{{20, 140}, {85, 465}, {170, 890}, {340, 1740}})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(line.Slope-5) > 1e-9 || math.Abs(line.Intercept-40) > 1e-9 || line.RSquared < 0.999 {
		t.Fatalf("got line %+v, want slope 5, intercept 40 and a perfect fit", line)
	}
	if line.IsExtrapolation(340) || !line.IsExtrapolation(600) || math.Abs(line.At(600)-3040) > 1e-9 {
		t.Fatalf("projection of %+v is wrong: want 3040 at size 600, and only 600 to be an extrapolation", line)
	}
}

// TestFitRejectsTwoPoints guards against a fit that is always perfect because it has two points only.
func TestFitRejectsTwoPoints(t *testing.T) {
	if _, err := Fit("bytes", "B", "node", []Point{{1, 1}, {2, 2}}); err == nil {
		t.Fatal("Fit accepted two points, want an error")
	}
}
