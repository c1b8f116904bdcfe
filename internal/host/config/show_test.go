package config

import (
	"strings"
	"testing"
)

const exampleFile = `{"cluster":"c","host":"e1","domain":"a","callersAddr":"127.0.0.1:1","peersAddr":"127.0.0.1:2",
"operatorsAddr":"127.0.0.1:3","platform":["http://127.0.0.1:4"],"forward":{"extraSlack":50}}`

func TestShowReturnsOriginOfEachValue(t *testing.T) {
	all, err := Show([]byte(exampleFile))
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]string)
	for _, s := range all {
		got[s.Field] = string(s.Value) + " " + string(s.Origin)
	}
	for field, want := range map[string]string{
		"host":                `"e1" file`,
		"forward.extraSlack":  "50 file",
		"forward.extraRatio":  "0.1 default",
		"drain.graceMs":       "2000 default",
		"seeds":               "[] default",
		"limits.replyBytes":   "1048576 default",
		"forward.listPauseMs": "400 default",
	} {
		if got[field] != want {
			t.Errorf("%s is %s, want %s", field, got[field], want)
		}
	}
}

func TestShowRejectsInvalidSettings(t *testing.T) {
	if _, err := Show([]byte(strings.Replace(exampleFile, "extraSlack", "extraSlick", 1))); err == nil || !strings.Contains(err.Error(), "extraSlick") {
		t.Fatalf("%v", err)
	}
}
