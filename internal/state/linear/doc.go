// Package linear holds small sequential models of the replicated table and claims for porcupine, which
// checks that a history recorded from a simulation or from real processes is linearizable. The models say
// again, in few lines and without the code under test, what each operation may answer in each state.
//
// An operation whose answer was lost is recorded with Lost set and a return time after every other
// operation: it may take effect at any moment from its call on, or after everything else, which is the same
// as never.
package linear
