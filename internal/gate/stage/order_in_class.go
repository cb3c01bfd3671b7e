package stage

// OrderInClass returns the order of work within its urgency class. Work in progress goes before new work of any order:
// it is worth more. The class of late work contains other ranks, so late work has no order.
//
// Without any order, work in progress has none either, and only due times count: ordered tells whether there is one.
func OrderInClass(order int, late, begun, ordered bool) int {
	switch {
	case late || !ordered:
		return 0
	case begun:
		return begunOrder
	}
	return order
}

// Orders of work within its rank and class. The order of other work is 0.
const (
	begunOrder = -2
	// FirstOrder is for teams that get clearly less than their share of scarce room, LastOrder for those above theirs.
	FirstOrder = -1
	LastOrder  = 1
)

// hasOrder reports whether any waiting job has an order.
func (q *Queue) hasOrder() bool {
	for _, g := range q.groups {
		if g.first().Order != 0 {
			return true
		}
	}
	return false
}
