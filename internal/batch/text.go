package batch

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Texts are most of what the log, the state, its snapshots and the messages between nodes hold: they are stored
// deflated where that makes them smaller, and in the pieces in which they were committed, so that none is sent twice.
// Who makes a text and who reads it does the work; the store only counts.

// leastDeflated is the length of a piece, in bytes, below which it is stored as it is.
const leastDeflated = 128

var (
	deflaters = sync.Pool{New: func() any {
		writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
		if err != nil {
			panic(err) // only for a level that does not exist
		}
		return writer
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// TextSum identifies a text that another one follows. Length and last event are not enough: runs of one item
// that different leaders began may have both in common.
func TextSum(text []byte) uint64 { return xxhash.Sum64(text) }

// Deflate returns a piece of a text as it is stored, and its length before if that makes it smaller.
func Deflate(text []byte) (data []byte, deflatedFrom uint32) {
	if len(text) < leastDeflated {
		return text, 0
	}
	var small bytes.Buffer
	small.Grow(len(text))
	writer, _ := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(&small)
	_, err := writer.Write(text)
	if err == nil && writer.Close() == nil && small.Len() < len(text) {
		return bytes.Clone(small.Bytes()), uint32(len(text))
	}
	return text, 0
}

// Completed returns the result of an item with its whole text.
func Completed(item string, text []byte, versions []uint64) *wire.JobResult {
	return CompletedAfter(item, text, 0, versions)
}

// CompletedAfter returns the result of an item of whose text the first bytes are committed as a partial text already.
func CompletedAfter(item string, text []byte, committed int, versions []uint64) *wire.JobResult {
	result := &wire.JobResult{Item: item, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Versions: versions}
	result.Text, result.DeflatedFrom = Deflate(text[committed:])
	if committed > 0 {
		result.FollowsLength, result.Follows = uint64(committed), TextSum(text[:committed])
	}
	return result
}

// Text returns the text of a result as its item's replica gave it.
func Text(result *wire.JobResult) ([]byte, error) {
	text, err := join(append(result.GetPieces()[:len(result.GetPieces()):len(result.GetPieces())], lastPiece(result)))
	return text, trace.Wrap(err, "item %q", result.GetItem())
}

// PartialText returns a partial text that is held.
func PartialText(partial *wire.JobPartial) ([]byte, error) {
	text, err := join(partialPieces(partial))
	return text, trace.Wrap(err, "item %q", partial.GetItem())
}

func lastPiece(result *wire.JobResult) *wire.JobText {
	return &wire.JobText{Data: result.GetText(), DeflatedFrom: result.GetDeflatedFrom()}
}

// partialPieces are the pieces of a partial text, with its newest one.
func partialPieces(partial *wire.JobPartial) []*wire.JobText {
	pieces := make([]*wire.JobText, 0, len(partial.GetPieces())+1)
	pieces = append(pieces, partial.GetPieces()...)
	return append(pieces, &wire.JobText{Data: partial.GetData(), DeflatedFrom: partial.GetDeflatedFrom()})
}

func join(pieces []*wire.JobText) ([]byte, error) {
	if length := rawBytes(pieces); length > MaximumResultBytes {
		return nil, trace.BadParameter("the text is longer than %d bytes", MaximumResultBytes)
	}
	if len(pieces) == 1 {
		return inflate(pieces[0])
	}
	var text []byte
	for _, piece := range pieces {
		inflated, err := inflate(piece)
		if err != nil {
			return nil, err
		}
		text = append(text, inflated...)
	}
	return text, nil
}

func inflate(piece *wire.JobText) ([]byte, error) {
	if piece.GetDeflatedFrom() == 0 {
		return piece.GetData(), nil
	}
	reader, _ := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(piece.GetData()), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	text := make([]byte, piece.GetDeflatedFrom())
	if _, err := io.ReadFull(reader, text); err != nil {
		return nil, trace.BadParameter("the text can't be inflated: %v", err)
	}
	if extra, err := reader.Read(make([]byte, 1)); extra > 0 || err != io.EOF {
		return nil, trace.BadParameter("the text does not end where it says")
	}
	return text, nil
}

// rawBytes is the length of some pieces as they are read.
func rawBytes(pieces []*wire.JobText) int {
	length := 0
	for _, piece := range pieces {
		length += rawLength(piece.GetData(), piece.GetDeflatedFrom())
	}
	return length
}

func rawLength(data []byte, deflatedFrom uint32) int {
	if deflatedFrom > 0 {
		return int(deflatedFrom)
	}
	return len(data)
}

// textBytes is the length of a result's text as it is read.
func textBytes(result *wire.JobResult) int {
	return rawBytes(result.GetPieces()) + rawLength(result.GetText(), result.GetDeflatedFrom())
}

// storedBytes is what the text of a result takes.
func storedBytes(result *wire.JobResult) int {
	length := len(result.GetText())
	for _, piece := range result.GetPieces() {
		length += len(piece.GetData())
	}
	return length
}
