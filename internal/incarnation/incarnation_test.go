package incarnation

import (
	"testing"

	"pgregory.net/rapid"
)

func drawIncarnation(t *rapid.T, label string) Incarnation {
	return Incarnation{
		ID:    rapid.StringMatching(`[a-z0-9][a-z0-9._-]{0,6}`).Draw(t, label+" id"),
		Start: rapid.OneOf(rapid.Just(uint64(0)), rapid.Uint64Range(1, 3), rapid.Uint64Range(1, MaximumStart)).Draw(t, label+" start"),
	}
}

// TestTextFormIsUniqueAndReadsBack guards against two starts that share a text form, and against a text form that
// Parse reads as another incarnation.
func TestTextFormIsUniqueAndReadsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := drawIncarnation(t, "one"), drawIncarnation(t, "other")
		if Parse(one.String()) != one || ID(one.String()) != one.ID {
			t.Fatalf("%+v reads back as %+v", one, Parse(one.String()))
		}
		if (one.String() == other.String()) != (one.Compare(other) == Same) {
			t.Fatalf("%q and %q compare as %v, but their text forms tell otherwise", one, other, one.Compare(other))
		}
	})
}

// TestCompareOrdersStarts guards against an order of starts that depends on the direction of the comparison, and
// against an unknown start that is not older than a known one.
func TestCompareOrdersStarts(t *testing.T) {
	opposite := map[Relation]Relation{Unrelated: Unrelated, Same: Same, Newer: Older, Older: Newer}
	rapid.Check(t, func(t *rapid.T) {
		one, other := drawIncarnation(t, "one"), drawIncarnation(t, "other")
		if rapid.Bool().Draw(t, "one id") {
			other.ID = one.ID
		}
		relation := one.Compare(other)
		if opposite[relation] != other.Compare(one) {
			t.Fatalf("%v compared to %v is %v, but the reverse is %v", one, other, relation, other.Compare(one))
		}
		unknown := Incarnation{ID: one.ID}
		if one.Start > 0 && one.Compare(unknown) != Newer {
			t.Fatalf("%v is not newer than an unknown start of the same id", one)
		}
	})
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"", "@", "i-1", "i-1@5", "i-1@", "@5", "i-1@05", "i-1@-5", "i@1@2", "i-1@99999999999999999999"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if read := Parse(text); read.Start > 0 && Parse(read.String()) != read {
			t.Fatalf("%q is parsed as %+v, whose text form is parsed as %+v", text, read, Parse(read.String()))
		}
	})
}
