// Package sim simulates whole fleets deterministically in virtual time. Control nodes, gateways, back ends, callers
// and operators are built from the pure packages that production runs, on one seeded random source, a simulated
// network and simulated disks, while faults are injected. Ground truth is recorded outside the simulated processes
// and every invariant is checked against it throughout the run. The same seed gives the same trace, byte for byte.
// docs/design/simulator.md lists which parts are production code and which are simulated.
package sim
