package memory

// Usage is the state of an account.
type Usage struct {
	Held, Bound int64
	Open, Busy  int // connections
	Outgoing    int // connections to upstreams
	Kinds       []KindUsage
}

// KindUsage is the part of one kind.
type KindUsage struct {
	Kind     Kind
	Bytes    int64
	Cuts     int64 // holders that were told to end
	Refusals int64 // holders for which there was no room
}

// Usage returns the present state; of no account, zero values.
func (a *Account) Usage() Usage {
	if a == nil {
		return Usage{}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	u := Usage{Held: a.held + a.cutting, Bound: a.o.Bytes, Open: a.open, Busy: a.busy, Outgoing: a.outgoing}
	for _, k := range Kinds() {
		u.Kinds = append(u.Kinds, KindUsage{k, a.byKind[k], a.cuts[k], a.refusals[k]})
	}
	return u
}
