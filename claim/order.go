package claim

// order is a heap of entries, the first to be forgotten on top.
type order []*entry

func (o order) Len() int           { return len(o) }
func (o order) Less(i, j int) bool { return o[i].forget < o[j].forget }

func (o order) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].place, o[j].place = i, j
}

// Push implements heap.Interface.
func (o *order) Push(x any) {
	e := x.(*entry)
	e.place = len(*o)
	*o = append(*o, e)
}

// Pop implements heap.Interface.
func (o *order) Pop() any {
	last := len(*o) - 1
	e := (*o)[last]
	(*o)[last] = nil
	*o = (*o)[:last]
	return e
}
