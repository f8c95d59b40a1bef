// Package consensus hosts the raft nodes of all groups of one process. It drives them with ticks and messages, makes
// their work durable with one synced write for all groups, carries their messages over one drpc stream per direction
// and pair of nodes, and applies committed entries to the groups' state machines.
//
// One goroutine, the loop, owns every raft node and state machine. While the writer goroutine syncs a write, the loop
// keeps accepting messages and proposals, so that the next write carries everything that arrived meanwhile (group
// commit).
//
// Ordering of writes and messages: the entries, snapshot and hard state of a Ready are synced before its Messages are
// sent and before a proposer learns the outcome of its entry. EarlyMessages, and entries that were already durable on
// this node, do not wait for the sync. Heartbeats, heartbeat replies and the reads that they confirm do not wait
// either: they are sent while a write is in progress, however long it takes.
package consensus
