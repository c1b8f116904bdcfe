// Package size measures the memory of an entry host's parts at several sizes, so that a slope can be read off.
package size

import (
	"fmt"
	"io"
	"runtime"

	"github.com/yuccahinge/yuccahinge"
)

// Part is a part of a host whose memory grows with one number.
type Part struct {
	Name string
	// Unit names what the number counts.
	Unit  string
	Sizes []int
	// Build makes the part with n units and returns what must stay reachable.
	Build func(n int) any
}

// Point is one measurement.
type Point struct {
	Units int
	Bytes uint64
}

// Line is the least-squares line through the points of a part.
type Line struct {
	Part   Part
	Points []Point
	// Slope is in bytes a unit, Base in bytes.
	Slope, Base float64
}

// Measure builds the part at every size and fits a line.
func (p Part) Measure() Line {
	l := Line{Part: p}
	for _, n := range p.Sizes {
		l.Points = append(l.Points, Point{Units: n, Bytes: p.bytes(n)})
	}
	l.fit()
	return l
}

// bytes returns the growth of the heap after a collection.
func (p Part) bytes(n int) uint64 {
	before := heap()
	kept := p.Build(n)
	after := heap()
	runtime.KeepAlive(kept)
	if after < before {
		return 0
	}
	return after - before
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func (l *Line) fit() {
	var n, x, y, xx, xy float64
	for _, p := range l.Points {
		n++
		x += float64(p.Units)
		y += float64(p.Bytes)
		xx += float64(p.Units) * float64(p.Units)
		xy += float64(p.Units) * float64(p.Bytes)
	}
	l.Slope = (n*xy - x*y) / (n*xx - x*x)
	l.Base = (y - l.Slope*x) / n
}

// Print writes the line as a row of a Markdown table.
func (l *Line) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s |", l.Part.Name, l.Part.Unit)
	for _, p := range l.Points {
		fmt.Fprintf(w, " %d: %.2f MB", p.Units, float64(p.Bytes)/1e6)
	}
	fmt.Fprintf(w, " | %.0f |\n", l.Slope)
}

// searcherID names the searcher numbered i.
func searcherID(i int) yuccahinge.SearcherID {
	return yuccahinge.SearcherID(fmt.Sprintf("searcher-%05d", i))
}
