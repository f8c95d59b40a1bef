package wire

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"
)

// maximumUnpackedBytes bounds an unpacked table update, in bytes. A table of MaximumRows rows is smaller.
const maximumUnpackedBytes = 64 << 20

// PackUpdate encodes a table update and compresses it with DEFLATE. A whole table of many replicas becomes much
// smaller, and the result can be sent to any number of receivers.
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

// UnpackUpdate decodes the output of PackUpdate. Errors: trace.BadParameter if packed is not a packed update or
// unpacks to more than maximumUnpackedBytes.
func UnpackUpdate(packed []byte) (*TableUpdate, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	encoded, err := io.ReadAll(io.LimitReader(reader, maximumUnpackedBytes+1))
	if err != nil {
		return nil, trace.BadParameter("a packed table update can't be inflated: %v", err)
	}
	if len(encoded) > maximumUnpackedBytes {
		return nil, trace.BadParameter("a packed table update is longer than %d bytes", maximumUnpackedBytes)
	}
	update := &TableUpdate{}
	if err = proto.Unmarshal(encoded, update); err != nil {
		return nil, trace.BadParameter("a packed table update can't be read: %v", err)
	}
	return update, nil
}
