// Package sim runs whole fleets in virtual time: control nodes, gateways, back ends, callers and operators
// are made from the production's pure packages, on one seeded source of randomness, a simulated network
// and simulated disks, under faults. Truth is kept beside the fleet, and every promise is compared with it
// throughout. The same seed gives the same trace, byte for byte. docs/design/simulator.md says what is
// real here and what is not.
package sim
