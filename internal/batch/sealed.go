package batch

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"github.com/tamarindring/tamarindring/internal/statepart"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// A job is sealed once it has ended and its retention is being counted, because it can't change any more. From then on
// it is kept encoded, as a part of every snapshot. Texts are most of the state. As a part they are in memory until a
// snapshot is stored, and from then on only in its file: what a node holds in memory does not grow with the jobs of the
// retention.

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
	Encoded []byte          // an encoded wire.JobRecord; nil if Part is set
	Part    *statepart.Part // the snapshot part that contains this record only; nil if the record shares its part with others
}

// read returns the record. The error is that of reading a part that is not in memory.
func (r Record) read() (*wire.JobRecord, error) {
	encoded := r.Encoded
	if r.Part != nil {
		content, err := r.Part.Content()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		encoded = recordOf(content)
	}
	record := &wire.JobRecord{}
	if err := proto.Unmarshal(encoded, record); err != nil {
		return nil, trace.BadParameter("snapshot has a record that is none: %v", err)
	}
	return record, nil
}

// recordOf returns the encoded record in the content of a part made by encodePart.
func recordOf(content []byte) []byte {
	var encoded []byte
	eachField(content, func(_ protowire.Number, jobs []byte) bool {
		eachField(jobs, func(_ protowire.Number, record []byte) bool {
			encoded = record
			return false
		})
		return false
	})
	return encoded
}

// sealedJob is a job that can no longer change, in encoded form.
type sealedJob struct {
	part    *statepart.Part
	items   int // number of items
	results int // number of results
}

// encodePart encodes a record as a snapshot part of its own.
func encodePart(record *wire.JobRecord) (*statepart.Part, error) {
	size := proto.Size(record)
	framed := protowire.SizeTag(RecordsField) + protowire.SizeBytes(size)
	part := make([]byte, 0, protowire.SizeTag(JobsField)+protowire.SizeBytes(framed))
	part = protowire.AppendTag(part, JobsField, protowire.BytesType)
	part = protowire.AppendVarint(part, uint64(framed))
	part = protowire.AppendTag(part, RecordsField, protowire.BytesType)
	part = protowire.AppendVarint(part, uint64(size))
	part, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(part, record)
	if err != nil {
		return nil, err
	}
	return statepart.New(part), nil
}

// record returns a job that is not sealed as snapshots contain it. Its messages are shared with the job and must not be
// modified.
func (j *job) record() *wire.JobRecord {
	return &wire.JobRecord{
		Submit: j.submit, Revision: j.revision, Ended: j.ended, Results: j.results[:len(j.results):len(j.results)],
		Partials: j.sortedPartials(), CountedFromMillis: j.countedFrom, Unscored: j.sortedUnscored(),
	}
}

// seal seals a job if it can no longer change. A job that can't be encoded stays as it is, and the next snapshot
// reports the error.
func (s *Store) seal(j *job) {
	if j.sealed != nil || !j.ended || j.countedFrom == 0 || s.unsafe.ListAfterEnd {
		return
	}
	part, err := encodePart(j.record())
	if err != nil {
		return
	}
	s.sealAs(j, part)
}

// sealAs replaces the messages of a job by the part that contains its record.
func (s *Store) sealAs(j *job, part *statepart.Part) {
	part.MarkRecurring()
	j.sealed = &sealedJob{part: part, items: len(j.items), results: len(j.results)}
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

// eachResult calls visit for the results of a job that is not sealed from position since on, until visit returns false.
func (j *job) eachResult(since uint64, visit func(*wire.JobResult) bool) {
	for _, result := range j.results[min(since, uint64(len(j.results))):] {
		if !visit(result) {
			return
		}
	}
}

// eachResult calls visit for the results from position since on, until visit returns false. It decodes only those. The
// error is that of reading the part.
func (s *sealedJob) eachResult(since uint64, visit func(*wire.JobResult) bool) error {
	content, err := s.part.Content()
	if err != nil {
		return trace.Wrap(err)
	}
	position := uint64(0)
	var malformed error
	eachField(recordOf(content), func(number protowire.Number, value []byte) bool {
		if number != resultsField {
			return true
		}
		position++
		if position <= since {
			return true
		}
		result := &wire.JobResult{}
		if malformed = proto.Unmarshal(value, result); malformed != nil {
			return false
		}
		return visit(result)
	})
	return trace.Wrap(malformed)
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

// hasItem reports whether the job has the item, and whether the item has a result. The error is that of reading the part.
func (s *sealedJob) hasItem(id string) (known, listed bool, err error) {
	record, err := Record{Part: s.part}.read()
	if err != nil {
		return false, false, err
	}
	for _, item := range record.GetSubmit().GetItems() {
		known = known || item.GetId() == id
	}
	for _, result := range record.GetResults() {
		listed = listed || result.GetItem() == id
	}
	return known, listed, nil
}
