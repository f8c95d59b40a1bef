// Package experiment compares scheduling and routing policies on a simulated fleet in virtual time. It
// drives the production packages (engine, routing, admission, rollout, wave), not copies of them. Each run is a
// single-threaded event loop, so that the same scenario, policy and seed always give the same results. Runs of
// different policies and seeds can execute in parallel.
package experiment
