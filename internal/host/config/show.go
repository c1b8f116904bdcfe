package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Origin is where the value of a setting comes from.
type Origin string

// Origins of a value: the settings file, or the default of the schema.
const (
	FromFile    Origin = "file"
	FromDefault Origin = "default"
)

// Setting is a setting in force with its origin.
type Setting struct {
	Field  string          `json:"field"`
	Value  json.RawMessage `json:"value"`
	Origin Origin          `json:"from"`
}

// Show returns all settings that result from a settings file in JSON, sorted by name. Settings that are not in the file
// and have no default are left out. It returns the error of Decode for invalid settings.
func Show(data []byte) ([]Setting, error) {
	if _, err := Decode(data); err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, invalidError(err.Error())
	}
	return settingsOf("", schema(), doc)
}

func settingsOf(prefix string, s *jsonschema.Schema, doc any) ([]Setting, error) {
	object, _ := doc.(map[string]any)
	var out []Setting
	for _, name := range slices.Sorted(maps.Keys(s.Properties)) {
		property := s.Properties[name]
		value, isSet := object[name]
		if len(property.Properties) > 0 {
			inner, err := settingsOf(prefix+name+".", property, value)
			if err != nil {
				return nil, err
			}
			out = append(out, inner...)
			continue
		}
		from := FromFile
		if !isSet {
			if property.Default == nil {
				continue
			}
			value, from = *property.Default, FromDefault
		}
		text, err := json.Marshal(value)
		if err != nil {
			return nil, invalidError(prefix + name + ": " + err.Error())
		}
		out = append(out, Setting{Field: prefix + name, Value: text, Origin: from})
	}
	return out, nil
}
