// Package spoiled writes bytes that are no answer in the place of a replica's answer, as a faulty replica does. All
// stand-ins of replicas take them from here.
package spoiled

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
)

// Names are the header fields of the site by which an answer is recognized.
type Names struct {
	RequestID string // repeats the ID of the request
	Signature string // signs a success
}

// Kind is a way in which an answer is spoiled.
type Kind uint8

// The kinds. Those from EndlessInterim on write until the reader closes the connection.
const (
	BadStatus          Kind = iota // a status that no answer has
	Unnamed                        // a success that names no request
	Unsigned                       // a success without a signature
	UnsignedStream                 // an event stream without a signature
	BareNoContent                  // status 204 and nothing else
	Foreign                        // a signed success for another request
	UnnamedRefusal                 // says that the request did not run, but names none
	Garbage                        // random bytes
	CutHead                        // ends within the head
	CutBody                        // ends within the body
	Silent                         // nothing at all, with the connection left open
	BlankInName                    // a signed success with a blank in the name of a field
	BlankBeforeColon               // a signed success with a blank after the name of a field
	ControlInName                  // a signed success with a control byte in the name of a field
	FoldedField                    // a signed success with a line that continues the one before
	MisspelledLength               // a signed success with a second length, whose name ends with a blank
	MisspelledChunks               // a signed success in chunks, of which a name that ends with a blank tells
	ResetUnframed                  // a signed success without a length, reset within the body
	EndlessInterim                 // interim answers
	EndlessLine                    // one header line
	EndlessHead                    // header lines
	EndlessBody                    // the body of an answer that is right otherwise
	EndlessExtension               // the extension of a chunk
	EndlessTrailer                 // trailers after a whole body
	EndlessEvent                   // one event of a stream
	EndlessEmptyEvents             // events without data
	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind {
	all := make([]Kind, 0, kinds)
	for kind := range kinds {
		all = append(all, kind)
	}
	return all
}

// FieldKinds returns the kinds of which a line of the head is no field.
func FieldKinds() []Kind {
	return []Kind{BlankInName, BlankBeforeColon, ControlInName, FoldedField, MisspelledLength, MisspelledChunks}
}

// IsEndless reports whether the bytes of the kind have no end.
func (k Kind) IsEndless() bool { return k >= EndlessInterim }

// String returns the name of the kind for logs.
func (k Kind) String() string {
	return [...]string{BadStatus: "bad status", Unnamed: "unnamed", Unsigned: "unsigned", UnsignedStream: "unsigned stream", BareNoContent: "bare 204",
		Foreign: "foreign", UnnamedRefusal: "unnamed refusal", Garbage: "garbage", CutHead: "cut head", CutBody: "cut body", Silent: "silent",
		BlankInName: "blank in a name", BlankBeforeColon: "blank before a colon", ControlInName: "control byte in a name", FoldedField: "folded field",
		MisspelledLength: "misspelled length", MisspelledChunks: "misspelled chunks", ResetUnframed: "reset without a length",
		EndlessInterim: "endless interim answers", EndlessLine: "endless line", EndlessHead: "endless head", EndlessBody: "endless body",
		EndlessExtension: "endless chunk extension", EndlessTrailer: "endless trailer", EndlessEvent: "endless event",
		EndlessEmptyEvents: "endless empty events"}[k]
}

// badStatuses are what BadStatus draws from.
var badStatuses = []string{"000", "001", "099", "101", "199", "600", "999"}

// controlBytes are what ControlInName draws from.
var controlBytes = []string{"\x00", "\x01", "\t", "\r", "\x1f", "\x7f"}

const (
	success   = "HTTP/1.1 200 OK\r\n"
	chunked   = "Transfer-Encoding: chunked\r\n"
	stream    = "Content-Type: text/event-stream\r\n" + chunked + "\r\n"
	wrongBody = "Content-Length: 5\r\n\r\nwrong"
	// pieceBytes is the size of the repeated piece of an endless kind.
	pieceBytes = 256
	// misspelledLength and misspelledChunks frame the body in two ways, of which one has a name that is none.
	misspelledLength = "Content-Length : 2\r\n" + wrongBody
	misspelledChunks = "Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"
	// garbageBytes is the largest number of random bytes.
	garbageBytes = 512
)

// Write writes bytes of a kind in the place of the answer to the request with the given ID. For an endless kind it returns
// the error of the writer once the reader has closed the connection. The caller closes the connection afterwards.
func Write(out io.Writer, kind Kind, names Names, request string, random *rand.Rand) error {
	named := names.RequestID + ": " + request + "\r\n"
	signed := named + names.Signature + ": stamp\r\n"
	filler := strings.Repeat("x", pieceBytes)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", pieceBytes, filler)
	switch kind {
	case BadStatus:
		return write(out, "HTTP/1.1 "+badStatuses[random.IntN(len(badStatuses))]+" OK\r\n"+signed+wrongBody)
	case Unnamed:
		return write(out, success+names.Signature+": stamp\r\n"+wrongBody)
	case Unsigned:
		return write(out, success+named+wrongBody)
	case UnsignedStream:
		return write(out, success+named+stream+"13\r\nid: 0\ndata: wrong\n\n\r\n0\r\n\r\n")
	case BareNoContent:
		return write(out, "HTTP/1.1 204 No Content\r\n\r\n")
	case Foreign:
		return write(out, success+names.RequestID+": other\r\n"+names.Signature+": stamp\r\n"+wrongBody)
	case UnnamedRefusal:
		return write(out, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case Garbage:
		bytes := make([]byte, 1+random.IntN(garbageBytes))
		for position := range bytes {
			bytes[position] = byte(random.UintN(256))
		}
		return write(out, string(bytes))
	case CutHead:
		return write(out, success+named[:len(named)/2])
	case CutBody:
		return write(out, success+signed+"Content-Length: 500\r\n\r\nwrong")
	case BlankInName:
		return write(out, success+signed+"X Odd: v\r\n"+wrongBody)
	case BlankBeforeColon:
		return write(out, success+signed+"X-Odd : v\r\n"+wrongBody)
	case ControlInName:
		return write(out, success+signed+"X-O"+controlBytes[random.IntN(len(controlBytes))]+"dd: v\r\n"+wrongBody)
	case FoldedField:
		return write(out, success+signed+"X-Odd: v\r\n folded: w\r\n"+wrongBody)
	case MisspelledLength:
		return write(out, success+signed+misspelledLength)
	case MisspelledChunks:
		return write(out, success+signed+misspelledChunks)
	case ResetUnframed:
		resetOnClose(out)
		return write(out, success+signed+"\r\nwrong")
	case EndlessInterim:
		return repeat(out, "", "HTTP/1.1 102 Processing\r\n\r\n")
	case EndlessLine:
		return repeat(out, success+"X-Filler: ", filler)
	case EndlessHead:
		return repeat(out, success, "X-Filler: "+filler+"\r\n")
	case EndlessBody:
		return repeat(out, success+signed+chunked+"\r\n", chunk)
	case EndlessExtension:
		return repeat(out, success+signed+chunked+"\r\n5;", filler)
	case EndlessTrailer:
		return repeat(out, success+signed+chunked+"\r\n"+chunk+"0\r\n", "X-Filler: "+filler+"\r\n")
	case EndlessEvent:
		return repeat(out, success+signed+stream, chunk)
	case EndlessEmptyEvents:
		return repeat(out, success+signed+stream, "3\r\n:\n\n\r\n")
	}
	return nil // Silent
}

// resetOnClose makes the end of a connection a reset.
func resetOnClose(out io.Writer) {
	if connection, ok := out.(interface{ SetLinger(seconds int) error }); ok {
		_ = connection.SetLinger(0)
	}
}

func write(out io.Writer, text string) error {
	_, err := io.WriteString(out, text)
	return err
}

// repeat writes a beginning, and then a piece until an error.
func repeat(out io.Writer, beginning, piece string) error {
	if err := write(out, beginning); err != nil {
		return err
	}
	for {
		if err := write(out, piece); err != nil {
			return err
		}
	}
}
