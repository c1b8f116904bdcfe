// Package reload reads a host's settings again while the host runs.
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

// defaultLook is the time between two looks at the file, which may change without a signal. It is short beside the
// minutes for which a wrong list of seeds does no harm.
const defaultLook = 2 * yuccahinge.Second

// live are the settings that take effect at once; all others do at the next start.
var live = []string{"seeds", "forward.extraRatio", "forward.extraSlack", "drain"}

// Reload follows the settings file of a host. Set Path and call Load, then Run.
type Reload struct {
	Path string
	// LookMs is the time between two looks at the file; zero takes 2 s.
	LookMs yuccahinge.Millis

	apply    func(s *config.Settings)
	recorder yuccahinge.Recorder
	hangups  chan os.Signal
	settings *config.Settings // in force
	last     []byte           // the file as it was read last
	missing  bool             // the file could not be read
}

// Load returns the settings that a host starts with. From now on SIGHUP no longer ends the process; one that comes
// before Run is kept.
func (r *Reload) Load() (*config.Settings, error) {
	r.hangups = make(chan os.Signal, 1)
	signal.Notify(r.hangups, syscall.SIGHUP)
	data, err := config.Read(r.Path)
	if err != nil {
		return nil, err
	}
	r.last = data
	r.settings, err = config.Decode(data)
	return r.settings, err
}

// Run reads the settings again at each SIGHUP and whenever the file has changed, until ctx ends. Apply puts them in force,
// as far as that is possible without a start.
func (r *Reload) Run(ctx context.Context, recorder yuccahinge.Recorder, apply func(s *config.Settings)) error {
	r.recorder, r.apply = recorder, apply
	look := r.LookMs
	if look <= 0 {
		look = defaultLook
	}
	t := time.NewTicker(look.Duration())
	defer t.Stop()
	for {
		select {
		case <-r.hangups:
			r.read(true)
		case <-t.C:
			r.read(false)
		case <-ctx.Done():
			return nil
		}
	}
}

// read reads the file once. A file that can't be used leaves the settings in force as they are. Asked says that
// somebody waits for an event, even if nothing has changed.
func (r *Reload) read(asked bool) {
	data, err := config.Read(r.Path)
	if err != nil {
		if asked || !r.missing {
			r.refuse(err)
		}
		r.missing = true
		return
	}
	r.missing = false
	if !asked && bytes.Equal(data, r.last) {
		return
	}
	r.last = data
	next, err := config.Decode(data)
	if err != nil {
		r.refuse(err)
		return
	}
	changed := differences(r.settings, next)
	if len(changed) == 0 && !asked {
		return
	}
	r.settings = next
	r.apply(next)
	r.recorder.Record(yuccahinge.Event{Code: event.SettingsReloaded, Detail: describe(changed)})
}

func (r *Reload) refuse(err error) {
	r.recorder.Record(yuccahinge.Event{Code: event.SettingsRefused, Detail: err.Error()})
}

// describe names what has changed, and apart from it what takes effect at the next start only.
func describe(changed []string) string {
	if len(changed) == 0 {
		return "nothing has changed"
	}
	var now, later []string
	for _, field := range changed {
		if slices.ContainsFunc(live, func(l string) bool { return field == l || strings.HasPrefix(field, l+".") }) {
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

// differences returns the paths of the fields in which two settings differ, in order.
func differences(a, b *config.Settings) []string {
	return diff("", document(a), document(b))
}

// document returns settings as JSON sees them.
func document(s *config.Settings) map[string]any {
	data, err := json.Marshal(s)
	if err != nil {
		return nil // settings came from JSON, so that they can be written as JSON
	}
	var out map[string]any
	if err := json.Unmarshal(data, &out); err != nil {
		return nil
	}
	return out
}

func diff(prefix string, a, b map[string]any) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(a)) {
		x, isObject := a[name].(map[string]any)
		y, _ := b[name].(map[string]any)
		switch {
		case isObject:
			out = append(out, diff(prefix+name+".", x, y)...)
		case !reflect.DeepEqual(a[name], b[name]):
			out = append(out, prefix+name)
		}
	}
	return out
}
