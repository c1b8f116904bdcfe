// Package size measures the heap memory of the components of an entry host at several sizes and fits a line through them.
package size

import (
	"fmt"
	"io"
	"runtime"

	"github.com/yuccahinge/yuccahinge"
)

// Component is a component of a host whose memory grows with the number of its units.
type Component struct {
	Name string
	// Unit names what Sizes count.
	Unit  string
	Sizes []int
	// Build builds the component with n units and returns the object that keeps its memory reachable.
	Build func(n int) any
}

// Point is one measurement.
type Point struct {
	Units int
	Bytes uint64
}

// Line is the least-squares line through the points of a component.
type Line struct {
	Component Component
	Points    []Point
	// Slope is in bytes per unit. Intercept is in bytes.
	Slope, Intercept float64
}

// Measure builds the component at every size and fits a line to the measurements.
func (c Component) Measure() Line {
	l := Line{Component: c}
	for _, n := range c.Sizes {
		l.Points = append(l.Points, Point{Units: n, Bytes: c.heapGrowth(n)})
	}
	l.fit()
	return l
}

// heapGrowth returns the growth of the live heap by a component with n units, or 0 if the heap shrank.
func (c Component) heapGrowth(n int) uint64 {
	before := heapBytes()
	retained := c.Build(n)
	after := heapBytes()
	runtime.KeepAlive(retained)
	if after < before {
		return 0
	}
	return after - before
}

// heapBytes returns the size of the heap after a garbage collection.
func heapBytes() uint64 {
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
	l.Intercept = (y - l.Slope*x) / n
}

// Print writes the line as a row of a Markdown table.
func (l *Line) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s |", l.Component.Name, l.Component.Unit)
	for _, p := range l.Points {
		fmt.Fprintf(w, " %d: %.2f MB", p.Units, float64(p.Bytes)/1e6)
	}
	fmt.Fprintf(w, " | %.0f |\n", l.Slope)
}

// searcherID returns the id of searcher i.
func searcherID(i int) yuccahinge.SearcherID {
	return yuccahinge.SearcherID(fmt.Sprintf("searcher-%05d", i))
}
