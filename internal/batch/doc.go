// Package batch holds the batch jobs of one ledger group: many requests that are submitted together, run
// later and read as an append-only list of results. A job is taken once however often it is submitted, every
// item gets one result at most, and a result's position and content never change while the job is kept.
//
// The package is pure and deterministic: equal sequences of commands give equal stores and equal snapshots.
// Who runs the items is not its concern (see package batchrun).
package batch
