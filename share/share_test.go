package share

import "testing"

func TestLimit(t *testing.T) {
	for _, c := range []struct{ total, hosts, want int }{
		{25, 8, 3},
		{25, 9, 2},
		{25, 7, 3},
		{100, 8, 12},
		{45, 8, 5},
		{4, 8, 1},
		{25, 0, 24},
	} {
		if got := (Share{}).Limit(c.total, c.hosts); got != c.want {
			t.Errorf("Limit(%d, %d) = %d, want %d", c.total, c.hosts, got, c.want)
		}
	}
}

func TestReplacementStaysUnderCap(t *testing.T) {
	for total := 2; total <= 100; total++ {
		for hosts := 1; hosts < total; hosts++ {
			s := Share{}
			held := hosts*s.Limit(total, hosts) + s.First(total, hosts+1)
			if held > total {
				t.Fatalf("%d hosts and a new one hold %d of %d", hosts, held, total)
			}
		}
	}
}
