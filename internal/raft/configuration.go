package raft

import (
	"encoding/binary"
	"slices"

	"github.com/gravitational/trace"
)

// IsVoter reports whether node is a voter.
func (c Configuration) IsVoter(node uint64) bool { return slices.Contains(c.Voters, node) }

// IsLearner reports whether node is a learner.
func (c Configuration) IsLearner(node uint64) bool { return slices.Contains(c.Learners, node) }

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Clone returns a deep copy.
func (c Configuration) Clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

func (c Configuration) validate() error {
	all := append(slices.Clone(c.Voters), c.Learners...)
	slices.Sort(all)
	for i, node := range all {
		if node == None {
			return trace.BadParameter("raft: a configuration contains node ID 0")
		}
		if i > 0 && all[i-1] == node {
			return trace.BadParameter("raft: a configuration contains node %x twice", node)
		}
	}
	return nil
}

// apply returns the configuration that results from change.
func (c Configuration) apply(change ConfigurationChange) (Configuration, error) {
	next := c.Clone()
	switch change.Kind {
	case AddLearner:
		if change.Node == None {
			return c, ErrNotMember
		}
		if c.IsVoter(change.Node) || c.IsLearner(change.Node) {
			return c, ErrAlreadyMember
		}
		next.Learners = append(next.Learners, change.Node)
	case PromoteLearner:
		if c.IsVoter(change.Node) {
			return c, ErrAlreadyMember
		}
		if !c.IsLearner(change.Node) {
			return c, ErrNotMember
		}
		next.Learners = removeNode(next.Learners, change.Node)
		next.Voters = append(next.Voters, change.Node)
	case RemoveNode:
		if !c.IsVoter(change.Node) && !c.IsLearner(change.Node) {
			return c, ErrNotMember
		}
		if c.IsVoter(change.Node) && len(c.Voters) == 1 {
			return c, ErrLastVoter
		}
		next.Learners = removeNode(next.Learners, change.Node)
		next.Voters = removeNode(next.Voters, change.Node)
	default:
		return c, trace.BadParameter("raft: unknown kind %d of configuration change", change.Kind)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

func removeNode(nodes []uint64, node uint64) []uint64 {
	return slices.DeleteFunc(nodes, func(candidate uint64) bool { return candidate == node })
}

// changeFormatVersion is the first varint of an encoded ConfigurationChange.
const changeFormatVersion = 1

// Encode returns the stored form of the change: varints of the format version, the kind, the node, and two lists
// (voters and learners), each with its length first.
func (c ConfigurationChange) Encode() []byte {
	data := binary.AppendUvarint(nil, changeFormatVersion)
	data = binary.AppendUvarint(data, uint64(c.Kind))
	data = binary.AppendUvarint(data, c.Node)
	for _, list := range [][]uint64{c.Result.Voters, c.Result.Learners} {
		data = binary.AppendUvarint(data, uint64(len(list)))
		for _, node := range list {
			data = binary.AppendUvarint(data, node)
		}
	}
	return data
}

// DecodeConfigurationChange decodes the result of Encode. It returns an error if data is malformed or has another
// format version, or if the resulting configuration is invalid.
func DecodeConfigurationChange(data []byte) (ConfigurationChange, error) {
	decoder := varintReader{rest: data}
	format, kind := decoder.readUvarint(), decoder.readUvarint()
	change := ConfigurationChange{Kind: ChangeKind(kind), Node: decoder.readUvarint()}
	change.Result.Voters = decoder.readList()
	change.Result.Learners = decoder.readList()
	if decoder.failed || len(decoder.rest) > 0 || format != changeFormatVersion || kind > uint64(RemoveNode) {
		return ConfigurationChange{}, trace.BadParameter("raft: malformed configuration change of %d bytes", len(data))
	}
	return change, trace.Wrap(change.Result.validate())
}

// varintReader reads unsigned varints; after a malformed one, failed is set.
type varintReader struct {
	rest   []byte
	failed bool
}

func (r *varintReader) readUvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *varintReader) readList() []uint64 {
	count := r.readUvarint()
	if r.failed || count > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	if count == 0 {
		return nil
	}
	nodes := make([]uint64, 0, count)
	for range count {
		nodes = append(nodes, r.readUvarint())
	}
	return nodes
}

// configurationEntry is a configuration and the index of the log entry that set it.
type configurationEntry struct {
	index         uint64
	configuration Configuration
}

// configurationHistory holds the configuration of the last snapshot and of each configuration entry after it, in
// ascending order of their indexes. A configuration is in force on a node as soon as its entry is in that node's log,
// committed or not, and no longer if the entry is truncated; see docs/design/consensus.md. A history is never empty:
// its first item is the configuration of the snapshot.
type configurationHistory []configurationEntry

func (h configurationHistory) latest() configurationEntry { return h[len(h)-1] }

// at returns the configuration in force at index.
func (h configurationHistory) at(index uint64) Configuration {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].configuration
		}
	}
	return h[0].configuration
}

// add appends the configurations among entries, whose data must be valid.
func (h *configurationHistory) add(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryConfiguration {
			continue
		}
		change, err := DecodeConfigurationChange(entry.Data)
		if err != nil {
			panic("raft: invalid configuration entry in the log: " + err.Error())
		}
		*h = append(*h, configurationEntry{index: entry.Index, configuration: change.Result})
	}
}

// truncate drops the configurations at and after index.
func (h *configurationHistory) truncate(index uint64) {
	for len(*h) > 1 && h.latest().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact merges the configurations up to index into the first item.
func (h *configurationHistory) compact(index uint64) {
	base := configurationEntry{index: index, configuration: h.at(index)}
	rest := configurationHistory{base}
	for _, item := range (*h)[1:] {
		if item.index > index {
			rest = append(rest, item)
		}
	}
	*h = rest
}
