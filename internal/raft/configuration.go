package raft

import (
	"encoding/binary"
	"slices"

	"github.com/gravitational/trace"
)

// IsVoter reports whether node votes.
func (c Configuration) IsVoter(node uint64) bool { return slices.Contains(c.Voters, node) }

// IsLearner reports whether node is a learner.
func (c Configuration) IsLearner(node uint64) bool { return slices.Contains(c.Learners, node) }

// Quorum is the least number of voters that is a majority.
func (c Configuration) Quorum() int { return len(c.Voters)/2 + 1 }

// Clone returns a copy that shares nothing.
func (c Configuration) Clone() Configuration {
	return Configuration{Voters: slices.Clone(c.Voters), Learners: slices.Clone(c.Learners)}
}

func (c Configuration) validate() error {
	all := append(slices.Clone(c.Voters), c.Learners...)
	slices.Sort(all)
	for i, node := range all {
		if node == None {
			return trace.BadParameter("raft: a configuration holds the identity of no node")
		}
		if i > 0 && all[i-1] == node {
			return trace.BadParameter("raft: a configuration holds node %x twice", node)
		}
	}
	return nil
}

// after returns the configuration that change leads to.
func (c Configuration) after(change ConfigurationChange) (Configuration, error) {
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
		next.Learners = without(next.Learners, change.Node)
		next.Voters = append(next.Voters, change.Node)
	case RemoveNode:
		if !c.IsVoter(change.Node) && !c.IsLearner(change.Node) {
			return c, ErrNotMember
		}
		if c.IsVoter(change.Node) && len(c.Voters) == 1 {
			return c, ErrLastVoter
		}
		next.Learners = without(next.Learners, change.Node)
		next.Voters = without(next.Voters, change.Node)
	default:
		return c, trace.BadParameter("raft: unknown kind %d of configuration change", change.Kind)
	}
	slices.Sort(next.Voters)
	slices.Sort(next.Learners)
	return next, nil
}

func without(nodes []uint64, node uint64) []uint64 {
	return slices.DeleteFunc(nodes, func(candidate uint64) bool { return candidate == node })
}

const changeFormat = 1

// Encode returns the change's stored form: varints of format, kind, node, and the two counted lists.
func (c ConfigurationChange) Encode() []byte {
	data := binary.AppendUvarint(nil, changeFormat)
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

// DecodeConfigurationChange reads the form that Encode writes.
func DecodeConfigurationChange(data []byte) (ConfigurationChange, error) {
	decoder := varintReader{rest: data}
	format, kind := decoder.next(), decoder.next()
	change := ConfigurationChange{Kind: ChangeKind(kind), Node: decoder.next()}
	change.Result.Voters = decoder.list()
	change.Result.Learners = decoder.list()
	if decoder.failed || len(decoder.rest) > 0 || format != changeFormat || kind > uint64(RemoveNode) {
		return ConfigurationChange{}, trace.BadParameter("raft: malformed configuration change of %d bytes", len(data))
	}
	return change, trace.Wrap(change.Result.validate())
}

type varintReader struct {
	rest   []byte
	failed bool
}

func (r *varintReader) next() uint64 {
	value, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[size:]
	return value
}

func (r *varintReader) list() []uint64 {
	count := r.next()
	if r.failed || count > uint64(len(r.rest)) {
		r.failed = true
		return nil
	}
	if count == 0 {
		return nil
	}
	nodes := make([]uint64, 0, count)
	for range count {
		nodes = append(nodes, r.next())
	}
	return nodes
}

// configurationAt is a configuration and the index of the entry that brought it.
type configurationAt struct {
	index         uint64
	configuration Configuration
}

// configurationHistory holds the configuration of the last snapshot and of each configuration entry after
// it. A configuration is in force on a node as soon as its entry is in that node's log, committed or not,
// and goes out of force if the entry is cut off again; see docs/design/consensus.md.
type configurationHistory []configurationAt // never empty; the first is the snapshot's

func (h configurationHistory) latest() configurationAt { return h[len(h)-1] }

// at returns the configuration in force at index.
func (h configurationHistory) at(index uint64) Configuration {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].configuration
		}
	}
	return h[0].configuration
}

// add notes the configuration entries among entries, which are valid.
func (h *configurationHistory) add(entries []Entry) {
	for _, entry := range entries {
		if entry.Kind != EntryConfiguration {
			continue
		}
		change, err := DecodeConfigurationChange(entry.Data)
		if err != nil {
			panic("raft: an unchecked configuration entry reached the log: " + err.Error())
		}
		*h = append(*h, configurationAt{index: entry.Index, configuration: change.Result})
	}
}

// cut forgets configurations at or after index.
func (h *configurationHistory) cut(index uint64) {
	for len(*h) > 1 && h.latest().index >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact folds configurations up to index into the first.
func (h *configurationHistory) compact(index uint64) {
	base := configurationAt{index: index, configuration: h.at(index)}
	rest := configurationHistory{base}
	for _, item := range (*h)[1:] {
		if item.index > index {
			rest = append(rest, item)
		}
	}
	*h = rest
}
