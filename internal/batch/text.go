package batch

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Results are most of what the log, the state, its snapshots and the messages between nodes hold: their texts
// are stored deflated where that makes them smaller. Who makes a result and who reads it does the work; the
// store only counts.

// leastDeflated is the length of a text, in bytes, below which it is stored as it is.
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

// Completed returns the result of an item with its whole text.
func Completed(item string, text []byte, versions []uint64) *wire.JobResult {
	result := &wire.JobResult{Item: item, State: wire.JobItemState_JOB_ITEM_STATE_COMPLETED, Text: text, Versions: versions}
	if len(text) < leastDeflated {
		return result
	}
	var small bytes.Buffer
	small.Grow(len(text))
	writer, _ := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(writer)
	writer.Reset(&small)
	_, err := writer.Write(text)
	if err == nil && writer.Close() == nil && small.Len() < len(text) {
		result.Text, result.DeflatedFrom = bytes.Clone(small.Bytes()), uint32(len(text))
	}
	return result
}

// Text returns the text of a result as its item's replica gave it.
func Text(result *wire.JobResult) ([]byte, error) {
	if result.GetDeflatedFrom() == 0 {
		return result.GetText(), nil
	}
	if result.GetDeflatedFrom() > MaximumResultBytes {
		return nil, trace.BadParameter("the text of item %q is longer than %d bytes", result.GetItem(), MaximumResultBytes)
	}
	reader, _ := inflaters.Get().(io.ReadCloser)
	defer inflaters.Put(reader)
	if err := reader.(flate.Resetter).Reset(bytes.NewReader(result.GetText()), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	text := make([]byte, result.GetDeflatedFrom())
	if _, err := io.ReadFull(reader, text); err != nil {
		return nil, trace.BadParameter("the text of item %q can't be inflated: %v", result.GetItem(), err)
	}
	if extra, err := reader.Read(make([]byte, 1)); extra > 0 || err != io.EOF {
		return nil, trace.BadParameter("the text of item %q does not end where it says", result.GetItem())
	}
	return text, nil
}

// textBytes is the length of a result's text as it is read.
func textBytes(result *wire.JobResult) int {
	if deflated := result.GetDeflatedFrom(); deflated > 0 {
		return int(deflated)
	}
	return len(result.GetText())
}
