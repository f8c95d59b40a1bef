package member

import (
	"sort"

	"github.com/tamarindring/tamarindring/internal/wire"
)

// Merge returns the view that results from applying changes, as returned by Changes, to the known view. Changes that
// are not newer than the known view, or that start from a later version than it, have no effect. The arguments are
// not modified and share their members with the result.
func Merge(known, changes *wire.MembersView) *wire.MembersView {
	if changes.GetFromVersion() == 0 && changes.GetMembersVersion() >= known.GetMembersVersion() {
		return changes
	}
	if changes.GetMembersVersion() <= known.GetMembersVersion() || changes.GetFromVersion() > known.GetMembersVersion() {
		return known
	}
	byName := make(map[string]*wire.Member, len(known.GetMembers())+len(changes.Members))
	for _, member := range known.GetMembers() {
		byName[member.Name] = member
	}
	for _, member := range changes.Members {
		byName[member.Name] = member
	}
	merged := &wire.MembersView{MembersVersion: changes.MembersVersion}
	for _, member := range byName {
		merged.Members = append(merged.Members, member)
	}
	sort.Slice(merged.Members, func(i, j int) bool { return merged.Members[i].Name < merged.Members[j].Name })
	return merged
}
