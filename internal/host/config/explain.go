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

// explain puts a validation error into words that name the field and its value.
func explain(err error, doc any) string {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err.Error()
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	at := invalid.InstanceLocation
	switch k := invalid.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		return unknown(doc, at, slices.Sorted(slices.Values(k.Properties))[0])
	case *kind.Required:
		return fmt.Sprintf("%s: missing", field(append(at, k.Missing[0])))
	case *kind.Format:
		return fmt.Sprintf("%s: %s: %v", field(at), show(lookup(doc, at)), k.Err)
	}
	why := invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	return fmt.Sprintf("%s: %s: %s", field(at), show(lookup(doc, at)), why)
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
