package limit

import (
	"testing"

	"github.com/yuccahinge/yuccahinge"
	"pgregory.net/rapid"
)

func TestInFlightNeverExceedsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limiter{Min: 2, Max: 20}
		inFlight := 0
		now := yuccahinge.Millis(1)
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				bound := l.Bound("s")
				got := l.Admit(now, "s")
				if want := inFlight < bound; got != want {
					t.Fatalf("admitted %t with %d of %d in flight", got, inFlight, bound)
				}
				if got {
					inFlight++
				}
			},
			"release": func(t *rapid.T) {
				if inFlight == 0 {
					t.Skip("none in flight")
				}
				now += yuccahinge.Millis(rapid.IntRange(0, 50).Draw(t, "wait"))
				l.Release(now, "s", yuccahinge.Millis(rapid.IntRange(1, 500).Draw(t, "took")), rapid.Bool().Draw(t, "ok"))
				inFlight--
			},
			"": func(t *rapid.T) {
				if b := l.Bound("s"); b < 2 || b > 20 {
					t.Fatalf("bound is %d, want 2 to 20", b)
				}
			},
		})
	})
}

// TestBoundFollowsCapacity runs a service with a fixed number of slots: the bound must settle at a value at which the
// slots are busy and the queue stays short.
func TestBoundFollowsCapacity(t *testing.T) {
	const slots, serviceMs = 20, 10
	l := Limiter{}
	now := yuccahinge.Millis(0)
	var busyUntil [slots]yuccahinge.Millis
	type job struct{ start, end yuccahinge.Millis }
	var jobs []job
	for step := range 40000 {
		now = yuccahinge.Millis(step) * 0.25
		for len(jobs) > 0 && jobs[0].end <= now {
			l.Release(now, "s", jobs[0].end-jobs[0].start, true)
			jobs = jobs[1:]
		}
		if !l.Admit(now, "s") {
			continue
		}
		free := 0
		for i := range busyUntil {
			if busyUntil[i] < busyUntil[free] {
				free = i
			}
		}
		busyUntil[free] = max(now, busyUntil[free]) + serviceMs
		jobs = append(jobs, job{now, busyUntil[free]})
	}
	if b := l.Bound("s"); b < slots || b > 4*slots {
		t.Fatalf("bound settled at %d for %d slots", b, slots)
	}
}

// TestFewSlowRequestsDoNotLowerTheBound covers a shard that is down: a quarter of the requests runs into the deadline,
// and an eighth fails at once.
func TestFewSlowRequestsDoNotLowerTheBound(t *testing.T) {
	var l Limiter
	now := yuccahinge.Millis(1)
	for i := range 1000 {
		if !l.Admit(now, "s") {
			t.Fatalf("request %d was refused at a bound of %d", i, l.Bound("s"))
		}
		took, ok := yuccahinge.Millis(20), true
		switch i % 8 {
		case 0, 3:
			took, ok = 2000, false
		case 5:
			took, ok = 1, false
		}
		now += 10
		l.Release(now, "s", took, ok)
	}
	if b := l.Bound("s"); b < initialBound {
		t.Fatalf("the bound fell to %d, below its initial value", b)
	}
}

func BenchmarkAdmitRelease(b *testing.B) {
	var l Limiter
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if l.Admit(1, "s") {
				l.Release(1, "s", 5, true)
			}
		}
	})
}

func TestBoundNeverFallsBelowTheShareOfSlots(t *testing.T) {
	const share = 20
	l := &Limiter{MinBound: func(yuccahinge.ServiceName) int { return share }}
	now := yuccahinge.Millis(0)
	for window := range 200 {
		took := yuccahinge.Millis(10)
		if window > 10 {
			took = 500 // the host is busy, but every slot is free
		}
		for range 2 * windowSamples {
			if !l.Admit(now, "s") {
				t.Fatalf("refused in window %d with one request in flight", window)
			}
			l.Release(now, "s", took, true)
			now += windowMs
		}
	}
	if got := l.Bound("s"); got < share {
		t.Errorf("the bound fell to %d, below the host's share of %d", got, share)
	}
}
