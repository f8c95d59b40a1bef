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

// Texts are most of the bytes in the log, the state, its snapshots and the messages between nodes. They are stored
// compressed where that makes them smaller, and in the pieces in which they were committed, so that no piece is sent
// twice. The writer and the reader of a text compress and decompress it; the store only computes lengths.

// minDeflatedBytes is the length from which a piece is compressed.
const minDeflatedBytes = 128

var (
	deflaters = sync.Pool{New: func() any {
		writer, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
		if err != nil {
			panic(err) // fails only for a level that does not exist
		}
		return writer
	}}
	inflaters = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}
)

// TextSum returns a checksum that identifies the text which another one continues. Its length and last event id are not
// sufficient, because runs of one item started by different leaders may have both in common.
func TextSum(text []byte) uint64 { return xxhash.Sum64(text) }

// Deflate returns a piece of a text in its stored form. If compression makes it smaller, data is compressed and
// deflatedFrom is the original length; otherwise data is text and deflatedFrom is 0.
func Deflate(text []byte) (data []byte, deflatedFrom uint32) {
	if len(text) < minDeflatedBytes {
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

// Completed returns the completed result of an item with its whole text.
func Completed(item string, text []byte, versions []uint64) *wire.JobResult {
	return CompletedAfter(item, text, 0, versions)
}

// CompletedAfter returns the completed result of an item of whose text the first committed bytes are stored already as
// a partial text. The result contains only the rest.
func CompletedAfter(item string, text []byte, committed int, versions []uint64) *wire.JobResult {
	result := &wire.JobResult{Item: item, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Versions: versions}
	result.Text, result.DeflatedFrom = Deflate(text[committed:])
	if committed > 0 {
		result.FollowsLength, result.Follows = uint64(committed), TextSum(text[:committed])
	}
	return result
}

// Text returns the decompressed text of a result. It returns trace.BadParameter for a text that is damaged or too long.
func Text(result *wire.JobResult) ([]byte, error) {
	text, err := joinPieces(append(result.GetPieces()[:len(result.GetPieces()):len(result.GetPieces())], newestPiece(result)))
	return text, trace.Wrap(err, "item %q", result.GetItem())
}

// PartialText returns the decompressed text of a stored partial text. It returns trace.BadParameter for a text that is
// damaged or too long.
func PartialText(partial *wire.JobPartial) ([]byte, error) {
	text, err := joinPieces(partialPieces(partial))
	return text, trace.Wrap(err, "item %q", partial.GetItem())
}

// newestPiece returns the part of the text that the result itself contains.
func newestPiece(result *wire.JobResult) *wire.JobText {
	return &wire.JobText{Data: result.GetText(), DeflatedFrom: result.GetDeflatedFrom()}
}

// partialPieces returns all pieces of a partial text, including the newest one.
func partialPieces(partial *wire.JobPartial) []*wire.JobText {
	pieces := make([]*wire.JobText, 0, len(partial.GetPieces())+1)
	pieces = append(pieces, partial.GetPieces()...)
	return append(pieces, &wire.JobText{Data: partial.GetData(), DeflatedFrom: partial.GetDeflatedFrom()})
}

// joinPieces decompresses pieces and joins them.
func joinPieces(pieces []*wire.JobText) ([]byte, error) {
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

// inflate decompresses a piece. It returns an error if the data is damaged or its length differs from the stated one.
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

// rawBytes returns the decompressed length of pieces.
func rawBytes(pieces []*wire.JobText) int {
	length := 0
	for _, piece := range pieces {
		length += rawLength(piece.GetData(), piece.GetDeflatedFrom())
	}
	return length
}

// rawLength returns the decompressed length of a piece.
func rawLength(data []byte, deflatedFrom uint32) int {
	if deflatedFrom > 0 {
		return int(deflatedFrom)
	}
	return len(data)
}

// textBytes returns the decompressed length of a result's text.
func textBytes(result *wire.JobResult) int {
	return rawBytes(result.GetPieces()) + rawLength(result.GetText(), result.GetDeflatedFrom())
}

// storedBytes returns the stored length of the text of a result.
func storedBytes(result *wire.JobResult) int {
	length := len(result.GetText())
	for _, piece := range result.GetPieces() {
		length += len(piece.GetData())
	}
	return length
}
