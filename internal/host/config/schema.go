package config

import (
	"bytes"
	_ "embed"
	"maps"
	"net/netip"
	"net/url"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed schema.json
var schemaJSON []byte

// schema returns the compiled schema. It panics on an error, since the schema file is embedded in the program.
var schema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	c.AssertFormat()
	c.RegisterFormat(&jsonschema.Format{Name: "address", Validate: checkAddress})
	c.RegisterFormat(&jsonschema.Format{Name: "baseURL", Validate: checkBaseURL})
	if err := c.AddResource("settings.json", doc); err != nil {
		panic(err)
	}
	return c.MustCompile("settings.json")
})

// fillDefaults adds the schema's defaults for missing properties to the objects of doc.
func fillDefaults(s *jsonschema.Schema, doc any) {
	object, ok := doc.(map[string]any)
	if !ok {
		return
	}
	for name, property := range s.Properties {
		_, present := object[name]
		if !present && property.Default != nil {
			object[name] = cloneDefault(*property.Default)
		}
		fillDefaults(property, object[name])
	}
}

// cloneDefault returns a copy of a default, so that changes of the settings don't change the schema.
func cloneDefault(v any) any {
	switch v := v.(type) {
	case map[string]any:
		return maps.Clone(v)
	case []any:
		return slices.Clone(v)
	default:
		return v
	}
}

func checkAddress(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	a, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return errors.New("want an IP number and a port, as 10.0.0.7:8080")
	case a.Port() == 0:
		return errors.New("want a port above 0")
	case a.Addr().IsUnspecified():
		return errors.New("want an IP number that others can reach")
	}
	return nil
}

func checkBaseURL(v any) error {
	text, ok := v.(string)
	if !ok {
		return nil
	}
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" || u.RawQuery != "" || u.Fragment != "" {
		return errors.New("want a base URL, as http://10.0.0.9:7000")
	}
	return checkAddress(u.Host)
}
