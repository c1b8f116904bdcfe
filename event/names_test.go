package event

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

func TestCodesMatchDocumentation(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| \S`).FindAllStringSubmatch(string(page), -1) {
		listed[row[1]] = row[2]
	}
	for code, name := range Names() {
		if got := listed[fmt.Sprint(code)]; got != name {
			t.Errorf("event %[2]d is %[1]q in docs/EVENTS.md, want %[3]q", got, code, name)
		}
		delete(listed, fmt.Sprint(code))
	}
	for code, name := range listed {
		t.Errorf("docs/EVENTS.md lists event %s %s, which the package does not define", code, name)
	}
}

func TestNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for code, name := range Names() {
		if seen[name] {
			t.Errorf("name %s of event %d is a duplicate", name, code)
		}
		seen[name] = true
	}
}

func TestEveryCodeIsUsed(t *testing.T) {
	var sources bytes.Buffer
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		sources.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for code, name := range Names() {
		constant := "event." + strings.ToUpper(name[:1]) + name[1:]
		if !regexp.MustCompile(regexp.QuoteMeta(constant) + `\b`).Match(sources.Bytes()) {
			t.Errorf("no source file uses event %d %s", code, name)
		}
	}
}
