package slope

import (
	"math"
	"testing"
)

func TestFitFindsALine(t *testing.T) {
	line, err := Fit("bytes", "B", "node", []Point{{20, 140}, {85, 465}, {170, 890}, {340, 1740}})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(line.Slope-5) > 1e-9 || math.Abs(line.Intercept-40) > 1e-9 || line.Fit < 0.999 {
		t.Fatalf("line %+v", line)
	}
	if line.Extrapolated(340) || !line.Extrapolated(600) || math.Abs(line.At(600)-3040) > 1e-9 {
		t.Fatalf("projection of %+v is wrong", line)
	}
}

func TestTwoPointsAreNoFit(t *testing.T) {
	if _, err := Fit("bytes", "B", "node", []Point{{1, 1}, {2, 2}}); err == nil {
		t.Fatal("a line through two points was accepted")
	}
}
