// Package settings reads the settings file of a process: one strict YAML mapping whose keys are the long names of the
// subcommand's flags and whose values are scalars or lists of scalars. The flags themselves validate the values, so a
// file and a command line accept the same values.
package settings

import (
	"os"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/gravitational/trace"
)

// maxFileBytes bounds the size of a settings file. A larger file is assumed to be the wrong one.
const maxFileBytes = 1 << 20

// Field is one key of a settings file with its values.
type Field struct {
	Key    string
	Values []string // one for a scalar, any number for a list
	List   bool
	Line   int // line number, from 1, for error messages
}

// Read parses the file at path. Errors: trace.BadParameter with the file, the line and what is expected.
func Read(path string) ([]Field, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, trace.BadParameter("settings file %s cannot be read: %v", path, err)
	}
	if info.Size() > maxFileBytes {
		return nil, trace.BadParameter("settings file %s has %d bytes; at most %d are allowed", path, info.Size(), maxFileBytes)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("settings file %s cannot be read: %v", path, err)
	}
	return Parse(path, content)
}

// Parse parses the content of a settings file. name is the file name used in errors. Errors: trace.BadParameter.
func Parse(name string, content []byte) ([]Field, error) {
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, trace.BadParameter("settings file %s is not valid YAML: %v", name, err)
	}
	var fields []Field
	for index, document := range file.Docs {
		if document.Body == nil {
			continue
		}
		if index > 0 {
			return nil, trace.BadParameter("settings file %s:%d: only one YAML document is allowed", name, document.Body.GetToken().Position.Line)
		}
		if fields, err = parseMapping(name, document.Body); err != nil {
			return nil, err
		}
	}
	return fields, nil
}

// parseMapping returns the fields of the top-level mapping and rejects duplicate keys.
func parseMapping(name string, body ast.Node) ([]Field, error) {
	var entries []*ast.MappingValueNode
	switch node := body.(type) {
	case *ast.MappingNode:
		entries = node.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{node}
	case *ast.CommentGroupNode:
		return nil, nil
	default:
		return nil, trace.BadParameter("settings file %s:%d: want a mapping of names to values", name, body.GetToken().Position.Line)
	}
	fields := make([]Field, 0, len(entries))
	seen := make(map[string]int, len(entries))
	for _, entry := range entries {
		field, err := parseEntry(name, entry)
		if err != nil {
			return nil, err
		}
		if firstLine, duplicate := seen[field.Key]; duplicate {
			return nil, trace.BadParameter("settings file %s:%d: %s is already set in line %d; remove one", name, field.Line, field.Key, firstLine)
		}
		seen[field.Key] = field.Line
		fields = append(fields, field)
	}
	return fields, nil
}

// parseEntry returns one field. Values must be scalars or lists of scalars.
func parseEntry(name string, entry *ast.MappingValueNode) (Field, error) {
	field := Field{Key: scalarText(entry.Key), Line: entry.Key.GetToken().Position.Line}
	if list, ok := entry.Value.(*ast.SequenceNode); ok {
		field.List = true
		for _, item := range list.Values {
			if !isScalar(item) {
				return Field{}, trace.BadParameter("settings file %s:%d: %s: list items must be plain values", name, item.GetToken().Position.Line, field.Key)
			}
			field.Values = append(field.Values, scalarText(item))
		}
		return field, nil
	}
	if !isScalar(entry.Value) {
		return Field{}, trace.BadParameter("settings file %s:%d: %s: want a plain value or a list of them", name, field.Line, field.Key)
	}
	field.Values = []string{scalarText(entry.Value)}
	return field, nil
}

func isScalar(node ast.Node) bool {
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.LiteralNode:
		return true
	default:
		return false
	}
}

// scalarText returns the text of a scalar without quotes.
func scalarText(node ast.Node) string {
	switch value := node.(type) {
	case *ast.StringNode:
		return value.Value
	case *ast.LiteralNode:
		return value.Value.Value
	default:
		return node.GetToken().Value
	}
}
