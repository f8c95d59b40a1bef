package batch

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// A job is sealed once it has ended and its retention is being counted, because it can't change any more. From then on
// it is kept encoded, in the form in which it is part of every snapshot. Texts are most of the state, and in this form
// they are in memory and on disk only once.

// JobsField and RecordsField are the numbers of the fields that contain the record of a job in an encoded state:
// MachineSnapshot.jobs and, within it, JobSnapshot.jobs.
var (
	JobsField    = fieldNumber(&wire.MachineSnapshot{}, "jobs")
	RecordsField = fieldNumber(&wire.JobSnapshot{}, "jobs")
	resultsField = fieldNumber(&wire.JobRecord{}, "results")
)

func fieldNumber(message proto.Message, name protoreflect.Name) protowire.Number {
	return message.ProtoReflect().Descriptor().Fields().ByName(name).Number()
}

// Record is the record of a job in an encoded state.
type Record struct {
	Encoded []byte // an encoded wire.JobRecord
	Part    []byte // the snapshot part that contains this record only; nil if the record shares its part with others
}

// sealedJob is a job that can no longer change, in encoded form.
type sealedJob struct {
	Record
	items   int // number of items
	results int // number of results
}

// encodePart encodes a record as a snapshot part of its own.
func encodePart(record *wire.JobRecord) (Record, error) {
	size := proto.Size(record)
	framed := protowire.SizeTag(RecordsField) + protowire.SizeBytes(size)
	part := make([]byte, 0, protowire.SizeTag(JobsField)+protowire.SizeBytes(framed))
	part = protowire.AppendTag(part, JobsField, protowire.BytesType)
	part = protowire.AppendVarint(part, uint64(framed))
	part = protowire.AppendTag(part, RecordsField, protowire.BytesType)
	part = protowire.AppendVarint(part, uint64(size))
	part, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(part, record)
	if err != nil {
		return Record{}, err
	}
	return Record{Encoded: part[len(part)-size:], Part: part}, nil
}

// record returns the job as snapshots contain it. Its messages are shared with the job and must not be modified.
func (j *job) record() *wire.JobRecord {
	if j.sealed != nil {
		return j.sealed.decode()
	}
	return &wire.JobRecord{
		Submit: j.submit, Revision: j.revision, Ended: j.ended, Results: j.results[:len(j.results):len(j.results)],
		Partials: j.sortedPartials(), CountedFromMillis: j.countedFrom, Unscored: j.sortedUnscored(),
	}
}

// decode returns the record. Decoding can't fail, because the bytes were encoded or decoded successfully before.
func (s *sealedJob) decode() *wire.JobRecord {
	record := &wire.JobRecord{}
	_ = proto.Unmarshal(s.Encoded, record)
	return record
}

// seal seals a job if it can no longer change. A job that can't be encoded stays as it is, and the next snapshot
// reports the error.
func (s *Store) seal(j *job) {
	if j.sealed != nil || !j.ended || j.countedFrom == 0 || s.unsafe.ListAfterEnd {
		return
	}
	framed, err := encodePart(j.record())
	if err != nil {
		return
	}
	s.sealAs(j, framed)
}

// sealAs replaces the messages of a job by its encoded record.
func (s *Store) sealAs(j *job, record Record) {
	j.sealed = &sealedJob{Record: record, items: len(j.items), results: len(j.results)}
	j.submit = &wire.JobSubmit{Id: j.submit.GetId(), Digest: j.submit.GetDigest(), Tenant: j.submit.GetTenant()}
	j.results, j.listed, j.partials, j.unscored, j.items = nil, nil, nil, nil, nil
}

// resultCount returns the number of results.
func (j *job) resultCount() int {
	if j.sealed != nil {
		return j.sealed.results
	}
	return len(j.results)
}

// itemCount returns the number of items.
func (j *job) itemCount() int {
	if j.sealed != nil {
		return j.sealed.items
	}
	return len(j.items)
}

// eachResult calls visit for the results from position since on, until visit returns false.
func (j *job) eachResult(since uint64, visit func(*wire.JobResult) bool) {
	if j.sealed != nil {
		j.sealed.eachResult(since, visit)
		return
	}
	for _, result := range j.results[min(since, uint64(len(j.results))):] {
		if !visit(result) {
			return
		}
	}
}

// eachResult calls visit for the results from position since on, until visit returns false. It decodes only those.
func (s *sealedJob) eachResult(since uint64, visit func(*wire.JobResult) bool) {
	position := uint64(0)
	eachField(s.Encoded, func(number protowire.Number, value []byte) bool {
		if number != resultsField {
			return true
		}
		position++
		if position <= since {
			return true
		}
		result := &wire.JobResult{}
		return proto.Unmarshal(value, result) == nil && visit(result)
	})
}

// eachField calls visit for the length-delimited fields of an encoded message, until visit returns false or the message
// is malformed.
func eachField(encoded []byte, visit func(number protowire.Number, value []byte) bool) {
	for len(encoded) > 0 {
		number, kind, length := protowire.ConsumeTag(encoded)
		if length < 0 {
			return
		}
		encoded = encoded[length:]
		length = protowire.ConsumeFieldValue(number, kind, encoded)
		if length < 0 {
			return
		}
		if kind == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(encoded)
			if !visit(number, value) {
				return
			}
		}
		encoded = encoded[length:]
	}
}

// hasItem reports whether the job has the item, and whether the item has a result.
func (j *job) hasItem(id string) (known, listed bool) {
	if j.sealed == nil {
		return j.items[id] != nil, j.listed[id]
	}
	record := j.sealed.decode()
	for _, item := range record.GetSubmit().GetItems() {
		known = known || item.GetId() == id
	}
	for _, result := range record.GetResults() {
		listed = listed || result.GetItem() == id
	}
	return known, listed
}
