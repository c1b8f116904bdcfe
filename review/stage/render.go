package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// section matches the innermost section of a template of settings, and placeholder one value.
var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// render fills a template of settings from fields as the platform does, as far as deploy/entry.json needs it.
func render(template string, fields map[string]any) (string, error) {
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookUp(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	out = placeholder.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookUp(fields, m[1])
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, err := json.Marshal(v)
		if err != nil {
			return ""
		}
		return string(b)
	})
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("the template has a placeholder that is not supported: %s", out)
	}
	return out, nil
}

func lookUp(fields map[string]any, path string) any {
	var v any = fields
	for name := range strings.SplitSeq(path, ".") {
		table, ok := v.(map[string]any)
		if !ok {
			return nil
		}
		v = table[name]
	}
	return v
}
