// Package consensusbench measures consensus and storage on real files and real TCP: three nodes in one
// process that share the machine's processors and disk. Every figure stands beside the time of a bare
// synced write of the same run, and group commit beside one sync per claim.
package consensusbench
