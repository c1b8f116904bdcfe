package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/sebdah/goldie/v2"
)

const pageHead = `# Settings of yuccahinge serve

A JSON file, checked against internal/host/config/schema.json before anything starts. An unknown field, a wrong unit or
a bad address ends the program with exit code 2 and an error that names the field and its value. Durations
are numbers of milliseconds and their names end in Ms. ` + "`yuccahinge settings check FILE`" + ` checks a file only,
` + "`yuccahinge settings show FILE`" + ` prints each value in force and whether it is a default.

While a host runs, it reads the file again at SIGHUP and whenever it has changed. ` + "`seeds`, `drain`, `forward.extraRatio` and\n`forward.extraSlack`" + ` take effect at
once, all others at the next start; a file that is wrong changes nothing. Events 109 and 110 say what came of it.

This page is made from the schema: ` + "`go test ./internal/host/config -run TestPage -update`" + `.

| field | type | default | meaning |
|---|---|---|---|
`

// TestPage checks that the settings reference matches the schema.
func TestPage(t *testing.T) {
	var page strings.Builder
	page.WriteString(pageHead)
	writeRows(&page, "", schema())
	g := goldie.New(t, goldie.WithFixtureDir("../../../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "SETTINGS", []byte(page.String()))
}

func writeRows(page *strings.Builder, prefix string, s *jsonschema.Schema) {
	for _, name := range slices.Sorted(maps.Keys(s.Properties)) {
		p := s.Properties[name]
		fmt.Fprintf(page, "| `%s%s` | %s | %s | %s |\n", prefix, name, typeOf(p), defaultOf(s, name), p.Description)
		writeRows(page, prefix+name+".", p)
	}
}

func typeOf(p *jsonschema.Schema) string {
	kind := strings.Trim(p.Types.String(), "[]")
	if p.Format != nil {
		kind = p.Format.Name
	}
	if p.Items2020 != nil {
		return "list of " + typeOf(p.Items2020)
	}
	return kind + bounds(p)
}

func bounds(p *jsonschema.Schema) string {
	low, high := p.Minimum, p.Maximum
	switch {
	case p.ExclusiveMinimum != nil && high != nil:
		return fmt.Sprintf(", above %s, to %s", p.ExclusiveMinimum.RatString(), high.RatString())
	case low != nil && high != nil:
		return fmt.Sprintf(", %s to %s", low.RatString(), high.RatString())
	}
	return ""
}

func defaultOf(parent *jsonschema.Schema, name string) string {
	if slices.Contains(parent.Required, name) {
		return "required"
	}
	data, err := json.Marshal(parent.Properties[name].Default)
	if err != nil {
		return ""
	}
	return "`" + string(data) + "`"
}

// compareFields compares the JSON names of a struct's fields with the properties of a schema, recursively.
func compareFields(t *testing.T, path string, st reflect.Type, properties map[string]*jsonschema.Schema) {
	t.Helper()
	var fields []string
	for i := range st.NumField() {
		name := st.Field(i).Tag.Get("json")
		fields = append(fields, name)
		p := properties[name]
		if p != nil && st.Field(i).Type.Kind() == reflect.Struct {
			compareFields(t, path+"."+name, st.Field(i).Type, p.Properties)
		}
	}
	slices.Sort(fields)
	if known := slices.Sorted(maps.Keys(properties)); !slices.Equal(fields, known) {
		t.Errorf("%s: the struct has the fields %v, the schema %v", path, fields, known)
	}
}
