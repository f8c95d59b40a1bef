// Package linear provides small sequential models of the replicated table and claims. porcupine uses them to check that
// a history recorded from a simulation or from real processes is linearizable. The models specify, independently of the
// code under test, which results each operation may have in each state.
//
// An operation whose result was lost is recorded with Lost set and a return time after all other operations. It may
// then take effect at any time after its call. Taking effect after all other operations is equivalent to never.
package linear
