package state

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/batch"
	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// decodeParts decodes a snapshot. The records of its batch jobs are returned undecoded; those that are a part of their
// own are not held in memory.
func decodeParts(parts statepart.Parts) (*wire.MachineSnapshot, []batch.Record, error) {
	var found partsContent
	for _, part := range parts {
		if err := found.addPart(part); err != nil {
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

// partsContent collects the content of a snapshot's parts.
type partsContent struct {
	head     []byte // encoded wire.MachineSnapshot without its batch jobs
	jobsHead []byte // encoded wire.JobSnapshot without its records
	records  []batch.Record
}

// addPart adds the fields of a part. The section that consists of one record of a batch job is kept with the record as a
// part, so that later snapshots can reuse it.
func (c *partsContent) addPart(part *statepart.Part) error {
	content, err := part.Content()
	if err != nil {
		return err
	}
	fields, err := splitFields(content)
	if err != nil {
		return err
	}
	offset := 0
	for _, field := range fields {
		if err := c.addField(part, offset, field); err != nil {
			return err
		}
		offset += len(field.encoded)
	}
	return nil
}

// addField adds the field of a part that begins at offset.
func (c *partsContent) addField(part *statepart.Part, offset int, field encodedField) error {
	if field.number != batch.JobsField || !field.delimited {
		c.head = append(c.head, field.encoded...)
		return nil
	}
	records := len(c.records)
	onlyRecords, err := c.addJobs(field.value)
	if err != nil || !onlyRecords || len(c.records) != records+1 {
		return err
	}
	if len(field.encoded) < part.Size() {
		part = part.Section(offset, field.encoded)
	}
	c.records[records] = batch.Record{Part: part}
	return nil
}

// addJobs adds an encoded wire.JobSnapshot and reports whether it contains only records.
func (c *partsContent) addJobs(jobs []byte) (onlyRecords bool, err error) {
	fields, err := splitFields(jobs)
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

// encodedField is one field of an encoded message.
type encodedField struct {
	number    protowire.Number
	delimited bool
	value     []byte // content of a length-delimited field
	encoded   []byte // whole field with its tag
}

// splitFields returns the fields of an encoded message in order. They share the message's memory.
func splitFields(message []byte) ([]encodedField, error) {
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
