// Package strictyaml decodes YAML files into typed structs and rejects unknown and duplicate fields. Every error
// names the file, and the line and field where they are known.
package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/gravitational/trace"
)

// FieldError reports an invalid value of one field. Validation functions return it so that Locate can add the line.
type FieldError struct {
	Path   string // for example sources[1].arrival.per_second
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Fieldf returns a FieldError with a formatted reason.
func Fieldf(path, format string, arguments ...any) error {
	return &FieldError{Path: path, Reason: fmt.Sprintf(format, arguments...)}
}

// Within prefixes the path of a FieldError with the path of its parent: Within("sources[1]", err). Other errors are
// returned unchanged.
func Within(path string, err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return err
	}
	return &FieldError{Path: path + "." + field.Path, Reason: field.Reason}
}

// Decode decodes content into target, a pointer to a struct. file is the name used in errors. Errors:
// trace.BadParameter.
func Decode(file string, content []byte, target any) error {
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return syntaxError(file, content, err)
	}
	if len(parsed.Docs) > 1 {
		return trace.BadParameter("%s: more than one document", file)
	}
	if len(parsed.Docs) == 1 && parsed.Docs[0].Body != nil {
		if err := checkDurations(parsed.Docs[0].Body, reflect.TypeOf(target), ""); err != nil {
			return Locate(file, content, err)
		}
	}
	if err := yaml.UnmarshalWithOptions(content, target, yaml.Strict()); err != nil {
		return syntaxError(file, content, err)
	}
	return nil
}

// Locate adds the file and the line in content to a FieldError, and the file to any other error. The result is a
// trace.BadParameter.
func Locate(file string, content []byte, err error) error {
	var field *FieldError
	if !errors.As(err, &field) {
		return trace.BadParameter("%s: %v", file, err)
	}
	return trace.BadParameter("%s:%d: %s: %s", file, findLine(content, field.Path), field.Path, field.Reason)
}

// syntaxError converts an error of the YAML library to a single line with file, line and field, as far as they are
// known.
func syntaxError(file string, content []byte, err error) error {
	var positioned yaml.Error
	if !errors.As(err, &positioned) || positioned.GetToken() == nil {
		return trace.BadParameter("%s: %v", file, err)
	}
	position := positioned.GetToken().Position
	field := findField(content, position.Line, position.Column)
	if field != "" {
		field += ": "
	}
	return trace.BadParameter("%s:%d: %s%s", file, position.Line, field, positioned.GetMessage())
}

// findField returns the path of the node at a position, or "" if there is none.
func findField(content []byte, line, column int) string {
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return ""
	}
	finder := &positionFinder{line: line, column: column}
	for _, document := range parsed.Docs {
		if document.Body != nil {
			ast.Walk(finder, document.Body)
		}
	}
	return strings.TrimPrefix(strings.TrimPrefix(finder.path, "$"), ".")
}

// positionFinder is an ast.Visitor that records the path of the node at line and column.
type positionFinder struct {
	line, column int
	path         string
}

// Visit implements ast.Visitor.
func (f *positionFinder) Visit(node ast.Node) ast.Visitor {
	position := node.GetToken().Position
	if position.Line == f.line && position.Column == f.column {
		f.path = node.GetPath()
	}
	return f
}

// findLine returns the line of the node at path, or of its nearest existing parent. It returns 1 if there is none.
func findLine(content []byte, path string) int {
	parsed, err := parser.ParseBytes(content, 0)
	if err != nil {
		return 1
	}
	for path != "" {
		yamlPath, err := yaml.PathString("$." + path)
		if err != nil {
			return 1
		}
		node, err := yamlPath.FilterFile(parsed)
		if err == nil && node != nil && node.GetToken() != nil {
			return node.GetToken().Position.Line
		}
		path = parentPath(path)
	}
	return 1
}

// parentPath returns path without its last key or index.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

var durationType = reflect.TypeOf(time.Duration(0))

// checkDurations returns a FieldError for the first malformed duration below node. The YAML library reports such
// errors without a position.
func checkDurations(node ast.Node, target reflect.Type, path string) error {
	for target.Kind() == reflect.Pointer {
		target = target.Elem()
	}
	switch {
	case target == durationType:
		return checkDuration(node, path)
	case target.Kind() == reflect.Struct:
		return checkFields(node, target, path)
	case target.Kind() == reflect.Slice:
		sequence, ok := node.(*ast.SequenceNode)
		if !ok {
			return nil
		}
		for index, value := range sequence.Values {
			if err := checkDurations(value, target.Elem(), fmt.Sprintf("%s[%d]", path, index)); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDuration returns a FieldError if node is not a duration.
func checkDuration(node ast.Node, path string) error {
	text := strings.Trim(node.String(), `"' `)
	if comment := strings.Index(text, " #"); comment >= 0 {
		text = strings.TrimSpace(text[:comment])
	}
	if _, err := time.ParseDuration(text); err != nil {
		return Fieldf(path, "%q is no duration such as 1500ms or 2s", text)
	}
	return nil
}

// checkFields checks the durations in the fields of a struct type.
func checkFields(node ast.Node, target reflect.Type, path string) error {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		return nil
	}
	types := make(map[string]reflect.Type)
	collectFields(target, types)
	for iterator := mapping.MapRange(); iterator.Next(); {
		key := strings.Trim(iterator.Key().String(), `"' `)
		fieldType, known := types[key]
		if !known {
			continue
		}
		if err := checkDurations(iterator.Value(), fieldType, joinPath(path, key)); err != nil {
			return err
		}
	}
	return nil
}

// collectFields adds the types of the fields of a struct to types, by YAML key. Inlined structs are included.
func collectFields(target reflect.Type, types map[string]reflect.Type) {
	for index := range target.NumField() {
		field := target.Field(index)
		name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if options == "inline" {
			collectFields(field.Type, types)
			continue
		}
		if name != "" && name != "-" {
			types[name] = field.Type
		}
	}
}

// joinPath returns the path of key below path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
