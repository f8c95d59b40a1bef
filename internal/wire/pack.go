package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maximumUnpacked bounds an unpacked table update, in bytes: a table of MaximumRows rows is smaller.
const maximumUnpacked = 64 << 20

// PackUpdate encodes and deflates a table update. A whole table of many replicas shrinks to a small part, and the bytes
// can be sent to any number of holders.
func PackUpdate(update *TableUpdate) ([]byte, error) {
	encoded, err := proto.Marshal(update)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if _, err = writer.Write(encoded); err != nil {
		return nil, trace.Wrap(err)
	}
	if err = writer.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	return packed.Bytes(), nil
}

// UnpackUpdate is the inverse of PackUpdate. Errors: trace.BadParameter for bytes that are not a packed update.
func UnpackUpdate(packed []byte) (*TableUpdate, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	encoded, err := io.ReadAll(io.LimitReader(reader, maximumUnpacked+1))
	if err != nil {
		return nil, trace.BadParameter("a packed table update can't be inflated: %v", err)
	}
	if len(encoded) > maximumUnpacked {
		return nil, trace.BadParameter("a packed table update is longer than %d bytes", maximumUnpacked)
	}
	update := &TableUpdate{}
	if err = proto.Unmarshal(encoded, update); err != nil {
		return nil, trace.BadParameter("a packed table update can't be read: %v", err)
	}
	return update, nil
}
