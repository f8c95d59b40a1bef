// Package batch stores the batch jobs of one ledger group: many requests that are submitted together, run later and
// read as an append-only list of results. A job is stored once however often it is submitted, every item gets at most
// one result, and the position and content of a result never change while the job is stored.
//
// The package is pure and deterministic: equal sequences of commands give equal stores and equal snapshots. Package
// batchrun runs the items.
package batch
