package raft

import (
	"reflect"
	"testing"
)

// FuzzConfigurationChange decodes arbitrary bytes as a stored configuration change. The decoder must reject them, or
// return a valid change that survives another round of encoding and decoding.
func FuzzConfigurationChange(f *testing.F) {
	for _, change := range []ConfigurationChange{
		{Kind: AddLearner, Node: 4, Result: Configuration{Voters: []uint64{1, 2, 3}, Learners: []uint64{4}}},
		{Kind: RemoveNode, Node: 1, Result: Configuration{Voters: []uint64{2, 1 << 60}}},
	} {
		f.Add(change.Encode())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := DecodeConfigurationChange(data)
		if err != nil {
			return
		}
		if err := change.Result.validate(); err != nil {
			t.Fatalf("an invalid configuration was decoded without an error: %v", err)
		}
		again, err := DecodeConfigurationChange(change.Encode())
		if err != nil || !reflect.DeepEqual(change, again) {
			t.Fatalf("encoding and decoding turned %+v into %+v (%v)", change, again, err)
		}
	})
}
