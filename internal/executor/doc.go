// Package executor drives runs of batch items on the orders of the leader that schedules them. An executor is part of a
// process near the replicas, such as a gateway in their zone. It buffers the answers of the replicas and reports them
// to the leader in batches. A run survives the loss of the leader that ordered it: the executor tells the next leader
// which runs it holds, and that leader continues them.
//
// The leader decides and the executor only carries out orders. Each order belongs to the leader's term, and a newer
// term supersedes all older ones. Directly before the first byte of a run is sent, the executor checks its own lease
// and routing table. An executor without a leader starts no runs, continues those it has, and drops runs that no leader
// follows for longer than Settings.AbandonAfter.
//
// RunTable is the pure decision logic. Server is the runtime around it.
package executor
