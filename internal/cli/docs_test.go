package cli

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"

	"github.com/tamarindring/tamarindring/internal/table"
)

const docsFolder = "../../docs"

// The settings page must equal the output of `config reference`.
func TestSettingsPageDiffersFromTheCode(t *testing.T) {
	var want bytes.Buffer
	if err := writeReference(&want); err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(filepath.Join(docsFolder, "operations", "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want.Bytes()) {
		t.Fatal("docs/operations/settings.md is not what the code says; run: go run ./cmd/tamarindring config reference > docs/operations/settings.md")
	}
}

// formatSchema returns the lines of the table's columns as docs/operations/table.md must list them.
func formatSchema() string {
	var lines strings.Builder
	for _, column := range table.Schema() {
		var rows []string
		for _, kind := range column.Rows {
			rows = append(rows, string(kind))
		}
		inherited := ""
		if column.Inherited && len(rows) == 1 {
			inherited = ", for its back ends"
		} else if column.Inherited {
			inherited = ", inherited"
		}
		fmt.Fprintf(&lines, "| `%s` | %s%s | %s | %s | %s |\n", column.Name, strings.Join(rows, ", "), inherited, formatRange(column), orNone(column.Default), column.Help)
	}
	return lines.String()
}

func formatRange(column table.Column) string {
	switch {
	case column.Type == table.Choice:
		return strings.Join(column.Choices, ", ")
	case column.Type == table.Unsigned:
		return strings.TrimSpace(fmt.Sprintf("%d to %d %s", column.Minimum, column.Maximum, column.Unit))
	default:
		return column.Type.String()
	}
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return "`" + text + "`"
}

// The table page must list all columns of the schema with their present limits, defaults and help.
func TestTablePageDiffersFromTheSchema(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(docsFolder, "operations", "table.md"))
	if err != nil {
		t.Fatal(err)
	}
	if want := formatSchema(); !strings.Contains(string(page), "|---|---|---|---|---|\n"+want+"\n") {
		t.Fatalf("docs/operations/table.md does not list the columns as the schema has them, which is:\n%s", want)
	}
}

var (
	inlineCode   = regexp.MustCompile("`([^`\n]+)`")
	programCall  = regexp.MustCompile(`(?:^|[\s/(])tamarindring((?: [a-z][a-z-]*)+)((?: \S+)*)`)
	longFlag     = regexp.MustCompile(`--([a-z][a-z-]*)`)
	minimumCalls = 20
)

// extractCode returns the code on a page: the lines of fenced blocks and the inline spans.
func extractCode(page string) []string {
	var code []string
	fenced := false
	for line := range strings.SplitSeq(page, "\n") {
		switch {
		case strings.HasPrefix(strings.TrimSpace(line), fence):
			fenced = !fenced
		case fenced:
			code = append(code, line)
		default:
			for _, match := range inlineCode.FindAllStringSubmatch(line, -1) {
				code = append(code, match[1])
			}
		}
	}
	return code
}

// checkCall returns an error if a page's call of the program names a subcommand or flag that does not exist.
func checkCall(parser *flags.Parser, words, rest string) error {
	command, depth := findCommand(parser, strings.Fields(words))
	if command == nil {
		return fmt.Errorf("there is no command %q", words)
	}
	if len(command.Commands()) > 0 && depth == len(strings.Fields(words)) && strings.TrimSpace(rest) != "" {
		return fmt.Errorf("%q needs a subcommand", words)
	}
	if len(command.Commands()) > 0 && depth < len(strings.Fields(words)) {
		return fmt.Errorf("%q has no subcommand of that name", words)
	}
	for _, match := range longFlag.FindAllStringSubmatch(rest, -1) {
		if findOption(command, match[1]) == nil {
			return fmt.Errorf("%q has no flag --%s", words, match[1])
		}
	}
	return nil
}

// Calls of the program in pages and systemd units must name existing subcommands and flags. The test fails if it
// finds fewer than minimumCalls, because then it checks nothing.
func TestPagesNameCommandsThatDoNotExist(t *testing.T) {
	parser, err := newInertParser()
	if err != nil {
		t.Fatal(err)
	}
	pages := []string{"../../README.md", "../../CONTRIBUTING.md", "../../SECURITY.md", examplesFolder + "/README.md"}
	err = filepath.WalkDir(docsFolder, func(path string, entry fs.DirEntry, err error) error {
		if filepath.Ext(path) == ".md" {
			pages = append(pages, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	units, err := filepath.Glob("../../packaging/systemd/*.service")
	if err != nil || len(units) == 0 {
		t.Fatalf("no unit files: %v", err)
	}
	pages = append(pages, units...)
	examined := 0
	for _, page := range pages {
		content, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(string(content), "\n")
		if filepath.Ext(page) == ".md" {
			lines = extractCode(string(content))
		}
		for _, code := range lines {
			for _, match := range programCall.FindAllStringSubmatch(code, -1) {
				examined++
				if err := checkCall(parser, match[1], match[2]); err != nil {
					t.Errorf("%s: %q: %v", page, code, err)
				}
			}
		}
	}
	if examined < minimumCalls {
		t.Fatalf("found %d calls of the program in %d pages, want more", examined, len(pages))
	}
}
