package capacity

import (
	"bytes"
	"context"
	"math"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/tamarindring/tamarindring/internal/bench/slope"
)

const docs = "../../../docs"

// TestPageStandsAgainstItsFigures holds docs/CAPACITY-loopback.md equal to what its figures render to.
func TestPageStandsAgainstItsFigures(t *testing.T) {
	figures, err := os.ReadFile(filepath.Join(docs, "capacity.json"))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Parse(figures)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY-loopback.md"))
	if err != nil {
		t.Fatal(err)
	}
	var rendered bytes.Buffer
	if err := Render(&rendered, report); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(page, rendered.Bytes()) {
		t.Fatal("docs/CAPACITY-loopback.md is not what docs/capacity.json renders to: run `tamarindring bench capacity --from docs/capacity.json --page docs/CAPACITY-loopback.md`")
	}
	if bytes.Contains(page, []byte("NaN")) || bytes.Contains(page, []byte("Inf")) {
		t.Fatal("docs/CAPACITY-loopback.md has a figure that is not a number")
	}
}

// TestFiguresHoldFourSizesOfEachQuantity is what the page promises of its lines.
func TestFiguresHoldFourSizesOfEachQuantity(t *testing.T) {
	figures, err := os.ReadFile(filepath.Join(docs, "capacity.json"))
	if err != nil {
		t.Fatal(err)
	}
	report, err := Parse(figures)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, line := range report.Lines() {
		if len(line.Points) < 4 {
			t.Errorf("%s: %d sizes, want at least 4", line.Quantity, len(line.Points))
		}
		if seen[line.Quantity] {
			t.Errorf("%s: fitted twice", line.Quantity)
		}
		seen[line.Quantity] = true
	}
}

func TestEstimateSaysHowFarItWasExtrapolated(t *testing.T) {
	line, err := slope.Fit("q", "bytes", "node", []slope.Point{{Size: 1, Value: 11}, {Size: 2, Value: 21}, {Size: 4, Value: 41}})
	if err != nil {
		t.Fatal(err)
	}
	report := &Report{States: []slope.Line{line}}
	near, far, unknown := report.at("q", 4), report.at("q", 40), report.at("other", 1)
	if near.Basis() != "measured" || far.Basis() != "extrapolated 10x" || unknown.Basis() != "not measured" {
		t.Errorf("bases %q, %q, %q", near.Basis(), far.Basis(), unknown.Basis())
	}
	if math.Abs(far.Value-401) > 1e-6 || math.Abs(report.each("q", 40).Value-400) > 1e-6 {
		t.Errorf("at 40: %v, for 40 more: %v; want 401 and 400", far.Value, report.each("q", 40).Value)
	}
}

func TestPartMeasuredAnewIsNotedOnce(t *testing.T) {
	report := &Report{}
	report.renew(Renewal{Parts: []string{"polls", "waves"}, Machine: Machine{Revision: "1"}})
	report.renew(Renewal{Parts: []string{"waves"}, Machine: Machine{Revision: "2"}})
	report.renew(Renewal{Parts: []string{"waves"}, Machine: Machine{Revision: "3"}})
	if len(report.Renewed) != 2 || !slices.Equal(report.Renewed[0].Parts, []string{"polls"}) || report.Renewed[1].Machine.Revision != "3" {
		t.Errorf("%+v", report.Renewed)
	}
}

func TestNumberKeepsThreeDigits(t *testing.T) {
	for value, want := range map[float64]string{0: "0", 9: "9", 1234567: "1,234,567", -1234: "-1,234", 12.345: "12.3", 1.2345: "1.23", 0.012345: "0.0123", 0.0000123: "1.23e-05"} {
		if got := number(value); got != want {
			t.Errorf("%v prints as %q, want %q", value, got, want)
		}
	}
}

func TestStateMachinesAreFilledToTheirSize(t *testing.T) {
	for _, kind := range stateKinds() {
		small, err := measureState(kind, 64)
		if err != nil {
			t.Fatalf("%s: %v", kind.name, err)
		}
		large, err := measureState(kind, 256)
		if err != nil {
			t.Fatalf("%s: %v", kind.name, err)
		}
		if large.snapshot < 3*small.snapshot {
			t.Errorf("%s: snapshots of %v and %v bytes for 64 and 256", kind.name, small.snapshot, large.snapshot)
		}
	}
}

// TestLedgerLoadsRunWithoutFailures measures claims and samples briefly.
func TestLedgerLoadsRunWithoutFailures(t *testing.T) {
	if testing.Short() {
		t.Skip("loads a control group on real files for several seconds")
	}
	r := &run{config: Config{PerPoint: 100 * time.Millisecond}}
	for name, measure := range map[string]func(context.Context, string) error{"claims": r.claims, "samples": r.samples} {
		if err := measure(context.Background(), filepath.Join(t.TempDir(), name)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	for name, ledger := range map[string]*Ledger{"claims": r.report.Claims, "samples": r.report.Samples} {
		for _, point := range ledger.Points {
			if point.Failures > 0 || point.DiskBytes == 0 || point.ControlBytes == 0 {
				t.Errorf("%s: %+v", name, point)
			}
		}
	}
}
