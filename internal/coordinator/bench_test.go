package coordinator

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkReadStream reads a streamed answer of 256 chunks and reports the time per chunk.
func BenchmarkReadStream(b *testing.B) {
	const chunks = 256
	var body strings.Builder
	for index := range chunks {
		fmt.Fprintf(&body, `data: {"id":"a/1/p/0","object":"text_completion","created":1,"model":"copy","choices":[{"index":0,"text":"word%d ","finish_reason":null,"weight_version":"a-v1","version_number":1,"token_offset":%d,"token_count":1}]}`+"\n\n", index, index)
	}
	fmt.Fprintf(&body, `data: {"id":"a/1/p/0","choices":[{"index":0,"text":"","finish_reason":"stop","token_offset":%d,"token_count":0}]}`+"\n\ndata: [DONE]\n\n", chunks)
	header := http.Header{"Tamarindring-Backend": {"e0"}}
	b.ReportAllocs()
	for b.Loop() {
		s, one := newTestRun()
		err := s.readStream(one, &http.Response{Header: header, Body: io.NopCloser(strings.NewReader(body.String()))})
		if err != nil || one.partial.tokens != chunks {
			b.Fatal(one.partial.tokens, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/chunks, "ns/chunk")
}
