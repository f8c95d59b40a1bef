package batchrun

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// maximumKept bounds the texts that are kept of ended jobs; above it all are dropped.
const maximumKept = 4096

// keptTexts holds what the items of ended jobs have brought, by item id, for a later job that carries the same
// items again. Only the runner's loop touches it.
type keptTexts struct {
	texts map[string]keptText
}

type keptText struct {
	item *wire.JobItem
	text *text
}

func newKeptTexts() *keptTexts { return &keptTexts{texts: map[string]keptText{}} }

func (k *keptTexts) keep(item *wire.JobItem, held *text) {
	if held == nil || held.events == 0 {
		return
	}
	if len(k.texts) >= maximumKept {
		clear(k.texts)
	}
	held.committed = 0 // for its own job only
	k.texts[item.GetId()] = keptText{item: item, text: held}
}

// take hands over the text of the same item; nil if none is kept.
func (k *keptTexts) take(item *wire.JobItem) *text {
	kept, ok := k.texts[item.GetId()]
	if !ok || !sameItem(kept.item, item) {
		return nil
	}
	delete(k.texts, item.GetId())
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
