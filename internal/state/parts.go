package state

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// decodeParts decodes a snapshot but for the records of its batch jobs, which it finds in the parts without copying them.
func decodeParts(parts [][]byte) (*wire.MachineSnapshot, []batch.Record, error) {
	var found partsContent
	for _, part := range parts {
		if err := found.add(part); err != nil {
			return nil, nil, err
		}
	}
	snapshot, jobs := &wire.MachineSnapshot{}, &wire.JobSnapshot{}
	if err := proto.Unmarshal(found.head, snapshot); err != nil {
		return nil, nil, err
	}
	if err := proto.Unmarshal(found.jobsHead, jobs); err != nil {
		return nil, nil, err
	}
	snapshot.Jobs = jobs
	return snapshot, found.records, nil
}

// partsContent is what the parts of a snapshot hold.
type partsContent struct {
	head     []byte // a wire.MachineSnapshot without its batch jobs
	jobsHead []byte // a wire.JobSnapshot without its records
	records  []batch.Record
}

// add takes in a part.
func (c *partsContent) add(part []byte) error {
	fields, err := split(part)
	if err != nil {
		return err
	}
	for _, field := range fields {
		if field.number != batch.JobsField || !field.delimited {
			c.head = append(c.head, field.encoded...)
			continue
		}
		records := len(c.records)
		onlyRecords, err := c.addJobs(field.value)
		if err != nil {
			return err
		}
		if onlyRecords && len(fields) == 1 && len(c.records) == records+1 {
			c.records[records].Part = part
		}
	}
	return nil
}

// addJobs takes in an encoded wire.JobSnapshot, and tells whether it holds nothing but records.
func (c *partsContent) addJobs(jobs []byte) (onlyRecords bool, err error) {
	fields, err := split(jobs)
	if err != nil {
		return false, err
	}
	onlyRecords = true
	for _, field := range fields {
		if field.number == batch.RecordsField && field.delimited {
			c.records = append(c.records, batch.Record{Encoded: field.value})
			continue
		}
		c.jobsHead = append(c.jobsHead, field.encoded...)
		onlyRecords = false
	}
	return onlyRecords, nil
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
