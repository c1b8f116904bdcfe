package ticket

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/yuccahinge/yuccahinge"
)

// FuzzDecode checks that an accepted ticket survives encoding and decoding, and that applying a valid first ticket
// gives a valid state.
func FuzzDecode(f *testing.F) {
	for _, t := range []*yuccahinge.Ticket{
		serviceTicket(1, searchService(1, 100)),
		{Number: 1, Calendars: map[yuccahinge.CalendarName]*yuccahinge.Calendar{"et": {Holidays: []string{"2026-03-20"}}}},
		{Number: 2, Services: map[yuccahinge.ServiceName]*yuccahinge.Service{"x": nil}},
	} {
		data, err := json.Marshal(t)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Decode(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := Decode(again)
		if err != nil {
			t.Fatalf("re-encoded ticket %s does not decode: %v", again, err)
		}
		if Check(first) != nil {
			return
		}
		one, err := Apply(nil, first)
		if err != nil {
			return
		}
		if err := CheckState(one); err != nil {
			t.Fatal(err)
		}
		if other, err := Apply(nil, second); err != nil || other.Digest != one.Digest {
			t.Fatalf("applying the re-encoded ticket gives %v, %v, want the same digest", other, err)
		}
		if !reflect.DeepEqual(one.Calendars, applyCalendars(new(yuccahinge.State), first)) {
			t.Fatal("the calendars of the state differ from those of the ticket")
		}
	})
}
