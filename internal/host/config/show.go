package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

// Origin says where the value of a setting comes from.
type Origin string

// The origins.
const (
	FromFile    Origin = "file"
	FromDefault Origin = "default"
)

// Shown is one setting in force.
type Shown struct {
	Field string          `json:"field"`
	Value json.RawMessage `json:"value"`
	From  Origin          `json:"from"`
}

// Show returns all settings that a file in JSON puts in force, in the order of their names. Settings that are neither in
// the file nor have a default are left out. The error is that of Decode.
func Show(data []byte) ([]Shown, error) {
	if _, err := Decode(data); err != nil {
		return nil, err
	}
	given, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return nil, invalid(err.Error())
	}
	return shown("", schema(), given)
}

func shown(prefix string, s *jsonschema.Schema, doc any) ([]Shown, error) {
	object, _ := doc.(map[string]any)
	var out []Shown
	for _, name := range slices.Sorted(maps.Keys(s.Properties)) {
		property := s.Properties[name]
		value, isGiven := object[name]
		if len(property.Properties) > 0 {
			inner, err := shown(prefix+name+".", property, value)
			if err != nil {
				return nil, err
			}
			out = append(out, inner...)
			continue
		}
		from := FromFile
		if !isGiven {
			if property.Default == nil {
				continue
			}
			value, from = *property.Default, FromDefault
		}
		text, err := json.Marshal(value)
		if err != nil {
			return nil, invalid(prefix + name + ": " + err.Error())
		}
		out = append(out, Shown{Field: prefix + name, Value: text, From: from})
	}
	return out, nil
}
