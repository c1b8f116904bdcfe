package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// maxShownValue bounds how much of a wrong value an error repeats, in bytes.
const maxShownValue = 80

// explain puts a validation error into words, a line for each fault with its field and value. Unknown fields come
// first: a misspelt name is often why another one is missing.
func explain(err error, doc any) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	var unknowns, others []string
	for _, leaf := range leaves(invalid) {
		if k, ok := leaf.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, name := range slices.Sorted(slices.Values(k.Properties)) {
				unknowns = append(unknowns, unknown(doc, leaf.InstanceLocation, name))
			}
			continue
		}
		others = append(others, faults(leaf, doc)...)
	}
	slices.Sort(others)
	return strings.Join(append(unknowns, others...), "\n")
}

// leaves returns the errors that have no causes of their own.
func leaves(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var out []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		out = append(out, leaves(cause)...)
	}
	return out
}

// faults puts one error into words.
func faults(e *jsonschema.ValidationError, doc any) []string {
	at := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		var out []string
		for _, name := range k.Missing {
			out = append(out, fmt.Sprintf("%s: missing", field(append(slices.Clone(at), name))))
		}
		return out
	case *kind.Format:
		return []string{fmt.Sprintf("%s: %s: %v", field(at), show(lookup(doc, at)), k.Err)}
	}
	why := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []string{fmt.Sprintf("%s: %s: %s", field(at), show(lookup(doc, at)), why)}
}

func unknown(doc any, at []string, name string) string {
	path := append(slices.Clone(at), name)
	known := slices.Sorted(maps.Keys(schemaAt(at).Properties))
	return fmt.Sprintf("%s: %s: unknown field; known are %s", field(path), show(lookup(doc, path)), strings.Join(known, ", "))
}

// schemaAt returns the schema of the object at a location.
func schemaAt(at []string) *jsonschema.Schema {
	s := schema()
	for _, name := range at {
		if s.Properties[name] == nil {
			return s
		}
		s = s.Properties[name]
	}
	return s
}

func field(at []string) string {
	if len(at) == 0 {
		return "settings"
	}
	return strings.Join(at, ".")
}

func lookup(doc any, at []string) any {
	for _, name := range at {
		switch v := doc.(type) {
		case map[string]any:
			doc = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil
			}
			doc = v[i]
		}
	}
	return doc
}

func show(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(data) > maxShownValue {
		return string(data[:maxShownValue]) + "..."
	}
	return string(data)
}
