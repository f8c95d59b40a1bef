package cli

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	namedTest   = regexp.MustCompile("`(Test[A-Za-z0-9_]+)`")
	definedTest = regexp.MustCompile(`(?m)^func (Test[A-Za-z0-9_]+)\(`)
)

// TestPagesNameTestsThatDoNotExist: each test that a page names as proof must exist in the tree, so that a page does
// not go on claiming what no test checks.
func TestPagesNameTestsThatDoNotExist(t *testing.T) {
	defined := map[string]bool{}
	for _, folder := range []string{"..", "../../platform"} {
		forEachFile(t, folder, "_test.go", func(_ string, content string) {
			for _, match := range definedTest.FindAllStringSubmatch(content, -1) {
				defined[match[1]] = true
			}
		})
	}
	named := 0
	forEachFile(t, docsFolder, ".md", func(path, content string) {
		for _, match := range namedTest.FindAllStringSubmatch(content, -1) {
			named++
			if !defined[match[1]] {
				t.Errorf("%s names %s, which is not in the tree", path, match[1])
			}
		}
	})
	if named < 20 || len(defined) < 100 {
		t.Fatalf("found %d names in the pages and %d tests, want at least 20 and 100", named, len(defined))
	}
}

// forEachFile calls read with every file in a folder and its subfolders whose name has the given ending.
func forEachFile(t *testing.T, folder, ending string, read func(path, content string)) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ending) {
			return err
		}
		content, err := os.ReadFile(path)
		if err == nil {
			read(path, string(content))
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}
