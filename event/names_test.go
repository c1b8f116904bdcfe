package event

import (
	"fmt"
	"os"
	"regexp"
	"testing"
)

func TestCatalogueAndPageAgree(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[string]string)
	for _, row := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| \S`).FindAllStringSubmatch(string(page), -1) {
		listed[row[1]] = row[2]
	}
	for code, name := range All() {
		if got := listed[fmt.Sprint(code)]; got != name {
			t.Errorf("docs/EVENTS.md has %q for %d, the code has %q", got, code, name)
		}
		delete(listed, fmt.Sprint(code))
	}
	for code, name := range listed {
		t.Errorf("docs/EVENTS.md lists %s %s, the code does not", code, name)
	}
}

func TestNamesAreUnique(t *testing.T) {
	seen := make(map[string]bool)
	for code, name := range All() {
		if seen[name] {
			t.Errorf("name %s of %d stands twice", name, code)
		}
		seen[name] = true
	}
}
