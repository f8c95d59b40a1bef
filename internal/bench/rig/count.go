package rig

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
)

// CountingDialer opens TCP connections and counts their bytes in both directions.
type CountingDialer struct {
	dialer net.Dialer
	bytes  atomic.Uint64
}

// Dial has the form of controlclient.DialFunc.
func (d *CountingDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConnection{Conn: connection, bytes: &d.bytes}, nil
}

// Bytes returns the count.
func (d *CountingDialer) Bytes() uint64 { return d.bytes.Load() }

// LiveBytes returns the memory that is really held, after a garbage collection: live heap objects and the
// stacks of all goroutines.
func LiveBytes() uint64 {
	runtime.GC()
	runtime.GC() // what the first one only unlinked, such as pooled buffers
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc + statistics.StackInuse
}
