package reload

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

const validSettings = `{"cluster":"c","host":"e1","domain":"a","callersAddr":"127.0.0.1:1","peersAddr":"127.0.0.1:2",
"operatorsAddr":"127.0.0.1:3","platform":["http://127.0.0.1:4"],"seeds":["127.0.0.1:5"],"forward":{"extraSlack":50}}`

// recorder passes recorded events to the test.
type recorder chan yuccahinge.Event

func (r recorder) Record(e yuccahinge.Event) { r <- e }

// next removes and returns the oldest event, or returns a zero event if there is none.
func (r recorder) next() yuccahinge.Event {
	select {
	case e := <-r:
		return e
	default:
		return yuccahinge.Event{}
	}
}

// newWatcher returns a Watcher of a file with valid settings, the events that it records and the settings that it applies.
func newWatcher(t *testing.T) (*Watcher, recorder, *[]*config.Settings) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	writeFile(t, path, validSettings)
	events := make(recorder, 16)
	applied := new([]*config.Settings)
	w := &Watcher{Path: path, recorder: events, apply: func(s *config.Settings) { *applied = append(*applied, s) }}
	if _, err := w.Load(); err != nil {
		t.Fatal(err)
	}
	return w, events, applied
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestChangedSettingsAreAppliedAndRecorded(t *testing.T) {
	w, events, applied := newWatcher(t)
	writeFile(t, w.Path, strings.NewReplacer(`"127.0.0.1:5"`, `"127.0.0.1:6"`, `:50`, `:70`, `"host":"e1"`, `"host":"e2"`).Replace(validSettings))
	w.checkFile(false)
	e := events.next()
	if e.Code != event.SettingsReloaded || e.Detail != "in force: forward.extraSlack, seeds; at the next start: host" {
		t.Fatalf("%+v", e)
	}
	if len(*applied) != 1 || (*applied)[0].Seeds[0] != "127.0.0.1:6" || (*applied)[0].Forward.ExtraSlack != 70 {
		t.Fatalf("%+v", *applied)
	}
	w.checkFile(false)
	if len(events) != 0 || len(*applied) != 1 {
		t.Fatal("an unchanged file was applied again")
	}
}

func TestInvalidFileKeepsSettingsInForce(t *testing.T) {
	for name, damage := range map[string]func(t *testing.T, path string){
		"cut short": func(t *testing.T, path string) { writeFile(t, path, validSettings[:40]) },
		"empty":     func(t *testing.T, path string) { writeFile(t, path, "") },
		"unknown field": func(t *testing.T, path string) {
			writeFile(t, path, strings.Replace(validSettings, "seeds", "seads", 1))
		},
		"gone": func(t *testing.T, path string) {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
		},
	} {
		w, events, applied := newWatcher(t)
		damage(t, w.Path)
		w.checkFile(false)
		w.checkFile(false)
		if e := events.next(); e.Code != event.SettingsRefused || e.Detail == "" || len(events) != 0 || len(*applied) != 0 {
			t.Errorf("%s: %+v, %d more events, %d applied", name, e, len(events), len(*applied))
		}
		writeFile(t, w.Path, strings.Replace(validSettings, ":50", ":60", 1))
		w.checkFile(false)
		if e := events.next(); e.Code != event.SettingsReloaded || len(*applied) != 1 {
			t.Errorf("%s, then valid again: %+v, %d applied", name, e, len(*applied))
		}
	}
}

func TestSIGHUPReadsTheFile(t *testing.T) {
	w, events, _ := newWatcher(t)
	w.PollMs = 60 * yuccahinge.Second
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error)
	go func() { done <- w.Run(ctx, events, w.apply) }()
	if e := <-events; e.Code != event.SettingsReloaded || e.Detail != "nothing has changed" {
		t.Errorf("%+v", e)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
