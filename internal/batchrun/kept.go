package batchrun

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Bounds of the textCache: the number of texts, and the bytes of the texts and of their items' request bodies. All
// texts are dropped when either bound would be exceeded.
const (
	maximumCachedTexts = 4096
	maximumCachedBytes = 16 << 20
)

// textCache holds the partial texts of ended jobs by item id, for a later job that contains the same items. Only the
// runner's loop accesses it.
type textCache struct {
	texts map[string]cachedText
	bytes int
}

type cachedText struct {
	tenant string // of the text's job; other tenants must not get the text
	item   *wire.JobItem
	text   *text
}

// size returns the bytes that count against maximumCachedBytes.
func (k *cachedText) size() int { return len(k.item.GetBody()) + len(k.text.data) }

func newTextCache() *textCache { return &textCache{texts: map[string]cachedText{}} }

// store adds the text of an item, replacing one with the same item id. It ignores a text without events.
func (k *textCache) store(tenant string, item *wire.JobItem, stored *text) {
	if stored == nil || stored.events == 0 {
		return
	}
	entry := cachedText{tenant: tenant, item: item, text: stored}
	k.remove(item.GetId())
	if len(k.texts) >= maximumCachedTexts || k.bytes+entry.size() > maximumCachedBytes {
		clear(k.texts)
		k.bytes = 0
	}
	stored.committed, stored.checkpointArmed = 0, false // its checkpoints belong to the job that has ended
	k.texts[item.GetId()] = entry
	k.bytes += entry.size()
}

func (k *textCache) remove(id string) {
	if entry, ok := k.texts[id]; ok {
		k.bytes -= entry.size()
		delete(k.texts, id)
	}
}

// take removes and returns the tenant's text for the same item and request. It returns nil if there is none.
func (k *textCache) take(tenant string, item *wire.JobItem) *text {
	entry, ok := k.texts[item.GetId()]
	if !ok || entry.tenant != tenant || !isSameRequest(entry.item, item) {
		return nil
	}
	k.remove(item.GetId())
	return entry.text
}

// isSameRequest reports whether two items send the same request: path, host, body and headers in their order.
func isSameRequest(a, b *wire.JobItem) bool {
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
