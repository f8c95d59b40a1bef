package state

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// decodeParts decodes a snapshot but for the records of its batch jobs, which it finds in the parts without copying them.
func decodeParts(parts [][]byte) (*wire.MachineSnapshot, []batch.Record, error) {
	var rest, jobsRest []byte
	var records []batch.Record
	for _, part := range parts {
		fields, err := split(part)
		if err != nil {
			return nil, nil, err
		}
		for _, field := range fields {
			if field.number != batch.JobsField || !field.delimited {
				rest = append(rest, field.encoded...)
				continue
			}
			inner, err := split(field.value)
			if err != nil {
				return nil, nil, err
			}
			alone := len(fields) == 1 && len(inner) == 1
			for _, held := range inner {
				if held.number != batch.RecordsField || !held.delimited {
					jobsRest = append(jobsRest, held.encoded...)
					continue
				}
				record := batch.Record{Encoded: held.value}
				if alone {
					record.Part = part
				}
				records = append(records, record)
			}
		}
	}
	snapshot, jobs := &wire.MachineSnapshot{}, &wire.JobSnapshot{}
	if err := proto.Unmarshal(rest, snapshot); err != nil {
		return nil, nil, err
	}
	if err := proto.Unmarshal(jobsRest, jobs); err != nil {
		return nil, nil, err
	}
	snapshot.Jobs = jobs
	return snapshot, records, nil
}

// encodedField is a field of an encoded message.
type encodedField struct {
	number    protowire.Number
	delimited bool
	value     []byte // of a length-delimited field
	encoded   []byte // the whole field
}

// split returns the fields of an encoded message in their order. They share its memory.
func split(message []byte) ([]encodedField, error) {
	var fields []encodedField
	for len(message) > 0 {
		number, kind, length := protowire.ConsumeField(message)
		if length < 0 {
			return nil, protowire.ParseError(length)
		}
		field := encodedField{number: number, encoded: message[:length:length]}
		if field.delimited = kind == protowire.BytesType; field.delimited {
			_, _, tag := protowire.ConsumeTag(message)
			field.value, _ = protowire.ConsumeBytes(message[tag:length])
		}
		fields = append(fields, field)
		message = message[length:]
	}
	return fields, nil
}
