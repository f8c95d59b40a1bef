package table

import (
	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// changeRecordBytes is the estimated memory of a kept result in addition to its encoded size.
const changeRecordBytes = 200

// rememberedChange is the result of a change, with the digest of the change's content.
type rememberedChange struct {
	digest uint64
	result *wire.TableResult
	bytes  int // estimated memory
}

// changeMemory keeps the results of the most recent change ids, bounded by count and bytes.
type changeMemory struct {
	byID  map[string]*rememberedChange
	order []*rememberedChange // oldest first, starting at head
	head  int
	bytes int // sum over order
}

func newChangeMemory() changeMemory {
	return changeMemory{byID: map[string]*rememberedChange{}}
}

func (m *changeMemory) get(id string) (*rememberedChange, bool) {
	known, ok := m.byID[id]
	return known, ok
}

// put adds a result and drops the oldest ones above the bounds. A result whose id is known is ignored.
func (m *changeMemory) put(digest uint64, result *wire.TableResult) {
	if _, known := m.byID[result.GetChangeId()]; known {
		return
	}
	record := &rememberedChange{digest: digest, result: result, bytes: changeRecordBytes + proto.Size(result)}
	m.byID[result.GetChangeId()] = record
	m.order = append(m.order, record)
	m.bytes += record.bytes
	for len(m.byID) > MaximumChangeIDs || m.bytes > MaximumChangeBytes {
		m.forgetOldest()
	}
}

func (m *changeMemory) forgetOldest() {
	oldest := m.order[m.head]
	m.order[m.head] = nil
	m.head++
	m.bytes -= oldest.bytes
	delete(m.byID, oldest.result.GetChangeId())
	if m.head > len(m.order)/2 {
		m.order = append([]*rememberedChange(nil), m.order[m.head:]...)
		m.head = 0
	}
}

// records returns the kept results, oldest first.
func (m *changeMemory) records() []*wire.ChangeRecord {
	records := make([]*wire.ChangeRecord, 0, len(m.byID))
	for _, record := range m.order[m.head:] {
		records = append(records, &wire.ChangeRecord{Digest: record.digest, Result: record.result})
	}
	return records
}
