package batch

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// A job that has ended changes no more once the count of its retention has begun. It is kept encoded from then on, as the part
// that it is of every encoded state: texts are most of a state, and are in memory and on the disk once.

// JobsField and RecordsField are the numbers of the fields that frame a job's record in an encoded state: MachineSnapshot.jobs
// and, within it, JobSnapshot.jobs.
var (
	JobsField    = fieldNumber(&wire.MachineSnapshot{}, "jobs")
	RecordsField = fieldNumber(&wire.JobSnapshot{}, "jobs")
	resultsField = fieldNumber(&wire.JobRecord{}, "results")
)

func fieldNumber(message proto.Message, name protoreflect.Name) protowire.Number {
	return message.ProtoReflect().Descriptor().Fields().ByName(name).Number()
}

// Record is a job's record in an encoded state.
type Record struct {
	Encoded []byte // a wire.JobRecord
	Part    []byte // the part of the state that holds it and nothing else; nil if it stands among others
}

// sealedJob is a job that changes no more.
type sealedJob struct {
	Record
	items   int
	results int
}

// frame returns a part of an encoded state that holds one record.
func frame(record *wire.JobRecord) (Record, error) {
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

// record is the job as snapshots hold it. Messages are shared.
func (j *job) record() *wire.JobRecord {
	if j.sealed != nil {
		return j.sealed.decode()
	}
	return &wire.JobRecord{
		Submit: j.submit, Revision: j.revision, Ended: j.ended, Results: j.results[:len(j.results):len(j.results)],
		Partials: j.sortedPartials(), CountedFromMillis: j.countedFrom, Unscored: j.sortedUnscored(),
	}
}

// decode returns the record; an empty one can't come, since what is sealed was encoded or decoded before.
func (s *sealedJob) decode() *wire.JobRecord {
	record := &wire.JobRecord{}
	_ = proto.Unmarshal(s.Encoded, record)
	return record
}

// seal encodes a job once nothing of it changes any more. One that can't be encoded stays as it is; snapshots tell why.
func (s *Store) seal(j *job) {
	if j.sealed != nil || !j.ended || j.countedFrom == 0 || s.unsafe.ListAfterEnd {
		return
	}
	framed, err := frame(j.record())
	if err != nil {
		return
	}
	s.sealAs(j, framed)
}

// sealAs keeps a job as its record and drops the messages.
func (s *Store) sealAs(j *job, record Record) {
	j.sealed = &sealedJob{Record: record, items: len(j.items), results: len(j.results)}
	j.submit = &wire.JobSubmit{Id: j.submit.GetId(), Digest: j.submit.GetDigest(), Tenant: j.submit.GetTenant()}
	j.results, j.listed, j.partials, j.unscored, j.items = nil, nil, nil, nil, nil
}

// resultCount is how many results are listed.
func (j *job) resultCount() int {
	if j.sealed != nil {
		return j.sealed.results
	}
	return len(j.results)
}

// itemCount is how many items the job has.
func (j *job) itemCount() int {
	if j.sealed != nil {
		return j.sealed.items
	}
	return len(j.items)
}

// eachResult calls visit with the results from a position on until it returns false.
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

// eachResult decodes only what is visited.
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

// eachField visits the length-delimited fields of an encoded message until visit returns false.
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

// hasItem tells whether the job has an item, and whether that is listed.
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
