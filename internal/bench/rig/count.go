package rig

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
)

// CountingDialer opens network connections and counts the bytes that they transfer in both directions.
type CountingDialer struct {
	dialer net.Dialer
	bytes  atomic.Uint64
}

// Dial opens a connection. It implements controlclient.DialFunc.
func (d *CountingDialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := d.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConnection{Conn: connection, bytes: &d.bytes}, nil
}

// Bytes returns how many bytes all connections have transferred so far.
func (d *CountingDialer) Bytes() uint64 { return d.bytes.Load() }

// MeasureLiveBytes collects garbage and returns the size of the live heap objects and of all goroutine stacks in this
// process.
func MeasureLiveBytes() uint64 {
	runtime.GC()
	runtime.GC() // again, because the first collection only unlinks some objects, such as buffers in a sync.Pool
	var statistics runtime.MemStats
	runtime.ReadMemStats(&statistics)
	return statistics.HeapAlloc + statistics.StackInuse
}
