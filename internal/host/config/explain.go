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

// maxValueBytes bounds how much of an invalid value an error message contains.
const maxValueBytes = 80

// explain returns the text of a validation error, with a line for each invalid field that names its value. Unknown
// fields come first, since a misspelt name is often the reason why another field is missing.
func explain(err error, doc any) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	var unknowns, others []string
	for _, leaf := range leafErrors(invalid) {
		if k, ok := leaf.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, name := range slices.Sorted(slices.Values(k.Properties)) {
				unknowns = append(unknowns, describeUnknownField(doc, leaf.InstanceLocation, name))
			}
			continue
		}
		others = append(others, describeError(leaf, doc)...)
	}
	slices.Sort(others)
	return strings.Join(append(unknowns, others...), "\n")
}

// leafErrors returns the errors in the tree of e that have no causes of their own.
func leafErrors(e *jsonschema.ValidationError) []*jsonschema.ValidationError {
	if len(e.Causes) == 0 {
		return []*jsonschema.ValidationError{e}
	}
	var out []*jsonschema.ValidationError
	for _, cause := range e.Causes {
		out = append(out, leafErrors(cause)...)
	}
	return out
}

// describeError returns the lines for one leaf error.
func describeError(e *jsonschema.ValidationError, doc any) []string {
	at := e.InstanceLocation
	switch k := e.ErrorKind.(type) {
	case *kind.Required:
		var out []string
		for _, name := range k.Missing {
			out = append(out, fmt.Sprintf("%s: missing", fieldPath(append(slices.Clone(at), name))))
		}
		return out
	case *kind.Format:
		return []string{fmt.Sprintf("%s: %s: %v", fieldPath(at), shortJSON(valueAt(doc, at)), k.Err)}
	}
	reason := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return []string{fmt.Sprintf("%s: %s: %s", fieldPath(at), shortJSON(valueAt(doc, at)), reason)}
}

func describeUnknownField(doc any, at []string, name string) string {
	path := append(slices.Clone(at), name)
	known := slices.Sorted(maps.Keys(schemaAt(at).Properties))
	return fmt.Sprintf("%s: %s: unknown field; known are %s", fieldPath(path), shortJSON(valueAt(doc, path)), strings.Join(known, ", "))
}

// schemaAt returns the schema at a location, or that of the nearest parent that has one.
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

func fieldPath(at []string) string {
	if len(at) == 0 {
		return "settings"
	}
	return strings.Join(at, ".")
}

func valueAt(doc any, at []string) any {
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

func shortJSON(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	if len(data) > maxValueBytes {
		return string(data[:maxValueBytes]) + "..."
	}
	return string(data)
}
