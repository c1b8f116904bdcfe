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

const good = `{"cluster":"c","host":"e1","domain":"a","callersAddr":"127.0.0.1:1","peersAddr":"127.0.0.1:2",
"operatorsAddr":"127.0.0.1:3","platform":["http://127.0.0.1:4"],"seeds":["127.0.0.1:5"],"forward":{"extraSlack":50}}`

// recorder hands events to the test.
type recorder chan yuccahinge.Event

func (r recorder) Record(e yuccahinge.Event) { r <- e }

// next returns the oldest event that was not looked at yet, or none.
func (r recorder) next() yuccahinge.Event {
	select {
	case e := <-r:
		return e
	default:
		return yuccahinge.Event{}
	}
}

// follow returns a Reload of a file with good settings and what it recorded and applied.
func follow(t *testing.T) (*Reload, recorder, *[]*config.Settings) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	write(t, path, good)
	events := make(recorder, 16)
	applied := new([]*config.Settings)
	r := &Reload{Path: path, recorder: events, apply: func(s *config.Settings) { *applied = append(*applied, s) }}
	if _, err := r.Load(); err != nil {
		t.Fatal(err)
	}
	return r, events, applied
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestChangesAreAppliedAndNamed(t *testing.T) {
	r, events, applied := follow(t)
	write(t, r.Path, strings.NewReplacer(`"127.0.0.1:5"`, `"127.0.0.1:6"`, `:50`, `:70`, `"host":"e1"`, `"host":"e2"`).Replace(good))
	r.read(false)
	e := events.next()
	if e.Code != event.SettingsReloaded || e.Detail != "in force: forward.extraSlack, seeds; at the next start: host" {
		t.Fatalf("%+v", e)
	}
	if len(*applied) != 1 || (*applied)[0].Seeds[0] != "127.0.0.1:6" || (*applied)[0].Forward.ExtraSlack != 70 {
		t.Fatalf("%+v", *applied)
	}
	r.read(false)
	if len(events) != 0 || len(*applied) != 1 {
		t.Fatal("an unchanged file is applied again")
	}
}

func TestUnusableFilesLeaveTheSettingsInForce(t *testing.T) {
	for name, spoil := range map[string]func(t *testing.T, path string){
		"cut short":     func(t *testing.T, path string) { write(t, path, good[:40]) },
		"empty":         func(t *testing.T, path string) { write(t, path, "") },
		"unknown field": func(t *testing.T, path string) { write(t, path, strings.Replace(good, "seeds", "seads", 1)) },
		"gone": func(t *testing.T, path string) {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
		},
	} {
		r, events, applied := follow(t)
		spoil(t, r.Path)
		r.read(false)
		r.read(false)
		if e := events.next(); e.Code != event.SettingsRefused || e.Detail == "" || len(events) != 0 || len(*applied) != 0 {
			t.Errorf("%s: %+v, %d more events, %d applied", name, e, len(events), len(*applied))
		}
		write(t, r.Path, strings.Replace(good, ":50", ":60", 1))
		r.read(false)
		if e := events.next(); e.Code != event.SettingsReloaded || len(*applied) != 1 {
			t.Errorf("%s, then mended: %+v, %d applied", name, e, len(*applied))
		}
	}
}

func TestHangupReadsTheFile(t *testing.T) {
	r, events, _ := follow(t)
	r.LookMs = 60 * yuccahinge.Second
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	done := make(chan error)
	go func() { done <- r.Run(ctx, events, r.apply) }()
	if e := <-events; e.Code != event.SettingsReloaded || e.Detail != "nothing has changed" {
		t.Errorf("%+v", e)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
