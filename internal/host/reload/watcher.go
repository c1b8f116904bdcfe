// Package reload watches the settings file of a host and reloads it while the host runs.
package reload

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/yuccahinge/yuccahinge"
	"github.com/yuccahinge/yuccahinge/event"
	"github.com/yuccahinge/yuccahinge/internal/host/config"
)

// defaultPollMs is the time between two checks of the file, which may change without a signal. A wrong list of
// seeds does harm only after minutes, so 2 s is short enough.
const defaultPollMs = 2 * yuccahinge.Second

// liveSettings are the settings that take effect at once. All others take effect at the next start.
var liveSettings = []string{"seeds", "forward.extraRatio", "forward.extraSlack", "drain"}

// Watcher watches the settings file of a host. Set Path and call Load, then Run.
type Watcher struct {
	Path string
	// PollMs is the time between two checks of the file; zero means 2 s.
	PollMs yuccahinge.Millis

	apply        func(s *config.Settings)
	recorder     yuccahinge.EventRecorder
	hangups      chan os.Signal
	settings     *config.Settings // in force
	lastData     []byte           // content of the file at the last read
	isUnreadable bool             // the last read of the file failed
}

// Load returns the settings that a host starts with. After it, SIGHUP no longer ends the process; one that arrives
// before Run causes a reload in Run.
func (w *Watcher) Load() (*config.Settings, error) {
	w.hangups = make(chan os.Signal, 1)
	signal.Notify(w.hangups, syscall.SIGHUP)
	data, err := config.ReadFile(w.Path)
	if err != nil {
		return nil, err
	}
	w.lastData = data
	w.settings, err = config.Decode(data)
	return w.settings, err
}

// Run reloads the settings at each SIGHUP and whenever the file has changed, until ctx ends. It calls apply with the new
// settings, of which only liveSettings take effect before the next start.
func (w *Watcher) Run(ctx context.Context, recorder yuccahinge.EventRecorder, apply func(s *config.Settings)) error {
	w.recorder, w.apply = recorder, apply
	pollMs := w.PollMs
	if pollMs <= 0 {
		pollMs = defaultPollMs
	}
	t := time.NewTicker(pollMs.Duration())
	defer t.Stop()
	for {
		select {
		case <-w.hangups:
			w.checkFile(true)
		case <-t.C:
			w.checkFile(false)
		case <-ctx.Done():
			return nil
		}
	}
}

// checkFile reads the file once and applies changed settings. An unreadable or invalid file leaves the settings in force
// unchanged. If wasRequested is set, it records an event even if nothing has changed, as an operator waits for one.
func (w *Watcher) checkFile(wasRequested bool) {
	data, err := config.ReadFile(w.Path)
	if err != nil {
		if wasRequested || !w.isUnreadable {
			w.recordRefusal(err)
		}
		w.isUnreadable = true
		return
	}
	w.isUnreadable = false
	if !wasRequested && bytes.Equal(data, w.lastData) {
		return
	}
	w.lastData = data
	next, err := config.Decode(data)
	if err != nil {
		w.recordRefusal(err)
		return
	}
	changed := changedFields(w.settings, next)
	if len(changed) == 0 && !wasRequested {
		return
	}
	w.settings = next
	w.apply(next)
	w.recorder.Record(yuccahinge.Event{Code: event.SettingsReloaded, Detail: describeChanges(changed)})
}

func (w *Watcher) recordRefusal(err error) {
	w.recorder.Record(yuccahinge.Event{Code: event.SettingsRefused, Detail: err.Error()})
}

// describeChanges lists the changed fields: first those that are in force now, then those that the next start applies.
func describeChanges(changed []string) string {
	if len(changed) == 0 {
		return "nothing has changed"
	}
	var now, later []string
	for _, field := range changed {
		if slices.ContainsFunc(liveSettings, func(l string) bool { return field == l || strings.HasPrefix(field, l+".") }) {
			now = append(now, field)
		} else {
			later = append(later, field)
		}
	}
	var out []string
	if len(now) > 0 {
		out = append(out, "in force: "+strings.Join(now, ", "))
	}
	if len(later) > 0 {
		out = append(out, "at the next start: "+strings.Join(later, ", "))
	}
	return strings.Join(out, "; ")
}

// changedFields returns the sorted paths of the fields in which two settings differ.
func changedFields(a, b *config.Settings) []string {
	return diffFields("", toDocument(a), toDocument(b))
}

// toDocument returns settings as a decoded JSON object.
func toDocument(s *config.Settings) map[string]any {
	data, err := json.Marshal(s)
	if err != nil {
		return nil // can't happen: the settings were decoded from JSON
	}
	var out map[string]any
	if err := json.Unmarshal(data, &out); err != nil {
		return nil
	}
	return out
}

func diffFields(prefix string, a, b map[string]any) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		x, isObject := a[name].(map[string]any)
		y, _ := b[name].(map[string]any)
		switch {
		case isObject:
			out = append(out, diffFields(prefix+name+".", x, y)...)
		case !reflect.DeepEqual(a[name], b[name]):
			out = append(out, prefix+name)
		}
	}
	return out
}
