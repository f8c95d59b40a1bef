// Package experiment compares scheduling and routing policies on a described fleet in virtual time. It
// drives the production packages (engine, routing, admission, rollout), not copies of them. A run is one
// event loop without goroutines: equal scenario, policy and seed give equal results. Runs of different
// policies and seeds may go side by side.
package experiment
