// Package incarnation distinguishes the starts of a replica. A replica may end and start again under the same id, and
// it then holds and knows nothing from before. State that is recorded about a replica therefore belongs to one of its
// starts, and is kept under the text form of an Incarnation, never under the id alone. The package is pure.
package incarnation

import (
	"strconv"
	"strings"
)

// MaximumStart is the latest accepted start time, in Unix milliseconds: in the year 2109. A clock that shows a later
// time is broken, and its replica would outrank every later start.
const MaximumStart = 1 << 42

// separator separates id and start in the text form. Ids cannot contain it, because they name rows of the table.
const separator = "@"

// Incarnation is one start of a replica.
type Incarnation struct {
	ID    string
	Start uint64 // Unix milliseconds; 0: unknown
}

// Relation is the result of comparing two incarnations.
type Relation uint8

// Results of Incarnation.Compare.
const (
	Unrelated Relation = iota // incarnations of different replicas
	Same
	Newer // a later start of the same replica: the other incarnation has ended
	Older // an earlier start of the same replica: this incarnation has ended
)

// Compare returns the relation of i to the known incarnation. An unknown start sorts before every known one.
func (i Incarnation) Compare(known Incarnation) Relation {
	switch {
	case i.ID != known.ID:
		return Unrelated
	case i.Start > known.Start:
		return Newer
	case i.Start < known.Start:
		return Older
	}
	return Same
}

// String returns the text form: the id, followed by the separator and the start if that is known. It is unique for
// each start, and Parse reads it.
func (i Incarnation) String() string {
	if i.Start == 0 {
		return i.ID
	}
	return i.ID + separator + strconv.FormatUint(i.Start, 10)
}

// Parse reads the text form. Text without a valid start is taken as an id with an unknown start.
func Parse(text string) Incarnation {
	position := strings.LastIndex(text, separator)
	if position < 0 {
		return Incarnation{ID: text}
	}
	start, err := strconv.ParseUint(text[position+len(separator):], 10, 64)
	if err != nil {
		return Incarnation{ID: text}
	}
	return Incarnation{ID: text[:position], Start: start}
}

// ID returns the id contained in a text form.
func ID(text string) string { return Parse(text).ID }
