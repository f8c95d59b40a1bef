package batchrun

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of the texts that are kept of ended jobs: a count, and the bytes of the texts with their items' bodies.
// Above either all are dropped.
const (
	maximumKept      = 4096
	maximumKeptBytes = 16 << 20
)

// keptTexts holds what the items of ended jobs have brought, by item id, for a later job that carries the same
// items again. Only the runner's loop touches it.
type keptTexts struct {
	texts map[string]keptText
	bytes int
}

type keptText struct {
	tenant string // whose job brought it: no other one gets it
	item   *wire.JobItem
	text   *text
}

func (k *keptText) size() int { return len(k.item.GetBody()) + len(k.text.data) }

func newKeptTexts() *keptTexts { return &keptTexts{texts: map[string]keptText{}} }

func (k *keptTexts) keep(tenant string, item *wire.JobItem, held *text) {
	if held == nil || held.events == 0 {
		return
	}
	entry := keptText{tenant: tenant, item: item, text: held}
	k.drop(item.GetId())
	if len(k.texts) >= maximumKept || k.bytes+entry.size() > maximumKeptBytes {
		clear(k.texts)
		k.bytes = 0
	}
	held.committed, held.growing = 0, false // for its own job only
	k.texts[item.GetId()] = entry
	k.bytes += entry.size()
}

func (k *keptTexts) drop(id string) {
	if held, ok := k.texts[id]; ok {
		k.bytes -= held.size()
		delete(k.texts, id)
	}
}

// take hands over the text of the same item; nil if none is kept.
func (k *keptTexts) take(tenant string, item *wire.JobItem) *text {
	kept, ok := k.texts[item.GetId()]
	if !ok || kept.tenant != tenant || !sameItem(kept.item, item) {
		return nil
	}
	k.drop(item.GetId())
	return kept.text
}

func sameItem(a, b *wire.JobItem) bool {
	if a.GetPath() != b.GetPath() || a.GetHost() != b.GetHost() || !bytes.Equal(a.GetBody(), b.GetBody()) || len(a.GetHeaders()) != len(b.GetHeaders()) {
		return false
	}
	for position, header := range a.GetHeaders() {
		if !proto.Equal(header, b.GetHeaders()[position]) {
			return false
		}
	}
	return true
}
