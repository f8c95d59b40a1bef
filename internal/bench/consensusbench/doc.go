// Package consensusbench measures consensus and storage with real files and TCP connections. Three nodes run in one
// process and share the machine's processors and disk. Latencies are reported in relation to that of a bare synced
// write of the same run, and the throughput of group commit in relation to that of one sync per claim.
package consensusbench
