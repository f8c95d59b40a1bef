package control

import (
	"context"
	"strings"

	"github.com/tamarindring/tamarindring/internal/auth"
	"github.com/tamarindring/tamarindring/internal/credentials"
	"github.com/tamarindring/tamarindring/internal/table"
	"github.com/tamarindring/tamarindring/internal/wire"
)

// rolesOf returns the roles that may call an RPC. The consensus transport, leases and joins are for nodes, backups for
// operators, and commands and queries for both.
func rolesOf(rpc string) []auth.Role {
	switch {
	case strings.Contains(rpc, ".Raft/"), strings.HasSuffix(rpc, "/Session"), strings.HasSuffix(rpc, "/Join"):
		return []auth.Role{auth.Node}
	case strings.HasSuffix(rpc, "/Backup"):
		return []auth.Role{auth.Operator}
	}
	return []auth.Role{auth.Node, auth.Operator}
}

// changesOnlySuspects reports whether a table change touches only records of suspect requests, under which back ends
// crashed. Nodes add these records, and operators remove them.
func changesOnlySuspects(change *wire.TableChange) bool {
	for _, cell := range change.GetCells() {
		if !strings.HasPrefix(cell.GetRow(), table.SuspectPrefix) || cell.GetColumn() == table.ColumnKind && cell.GetValue() != string(table.Suspect) {
			return false
		}
	}
	for _, name := range change.GetRemoveRows() {
		if !strings.HasPrefix(name, table.SuspectPrefix) {
			return false
		}
	}
	return true
}

// denialReason returns why the caller of a stream may not make a request, or "" if it may. Operators change the table,
// the members and the groups. All other commands are for nodes. Queries are for both.
func denialReason(ctx context.Context, request *wire.ExecuteRequest) string {
	principal, known := credentials.FromStream(ctx)
	if !known || request.Query != nil {
		return ""
	}
	change := request.Command.GetTableChange()
	if change != nil && changesOnlySuspects(change) {
		return ""
	}
	operators := request.Change != nil || change != nil
	nodes := !operators && request.Command.GetMemberUpdate() == nil
	switch {
	case operators && principal.Role != auth.Operator:
		return "this needs the token of an operator"
	case nodes && principal.Role != auth.Node:
		return "this needs the token of a node"
	}
	return ""
}
