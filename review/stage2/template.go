package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.]+)(\|json)?\}\}`)
)

// render fills in a template of settings as the platform does, with plain sections only.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(part string) string {
		m := section.FindStringSubmatch(part)
		if lookUp(fields, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(part string) string {
		m := placeholder.FindStringSubmatch(part)
		v := lookUp(fields, m[1])
		if v == nil {
			return ""
		}
		if m[2] != "" {
			out, _ := json.Marshal(v) // the fields hold strings, numbers and lists
			return string(out)
		}
		return fmt.Sprint(v)
	})
}

func lookUp(fields map[string]any, path string) any {
	first, rest, more := strings.Cut(path, ".")
	v, ok := fields[first]
	if !ok || !more {
		return v
	}
	inner, _ := v.(map[string]any)
	return lookUp(inner, rest)
}
