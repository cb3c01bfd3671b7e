package memory

const (
	// spareFiles are left by all sides, besides their parts of the descriptors: a process that serves nobody has some 15 open.
	spareFiles = 16
	// callersLeave and peersLeave are the parts of the descriptors that they leave besides, one of so many.
	callersLeave = 8
	peersLeave   = 16
)

// Side is who connects to a listener. Each may use some of the descriptors that the ones before it leave free.
type Side int

// The sides, by how far a crowd of them may fill the process.
const (
	Callers   Side = iota
	Operators      // with upstreams that report to control nodes, readers of the directory and of metrics
	Peers          // the other processes of the system
)

// files returns how many descriptors connections may use when one of a side comes. What even peers leave is for listeners, files, and
// connections to other processes.
func (a *Account) files(side Side) int {
	most := a.o.Descriptors
	margin := 0
	switch side {
	case Callers:
		margin = most / callersLeave
	case Operators:
		margin = (most/callersLeave + most/peersLeave) / 2
	case Peers:
		margin = most / peersLeave
	}
	return most - spareFiles - margin
}

// Outgoing counts n more connections to upstreams, or fewer if n is below 0.
func (a *Account) Outgoing(n int) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outgoing += n
}

// OnShort sets a function that is called under the lock of the account when connections to upstreams that are kept without a request
// should be closed. It must not block.
func (a *Account) OnShort(f func()) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.short = f
}

// makeFiles cuts idle connections until at most n descriptors are in use.
func (a *Account) makeFiles(n int) bool {
	for a.o.Descriptors > 0 && a.open+max(a.sending, a.outgoing) > n {
		if a.outgoing > a.sending && a.short != nil {
			a.short()
		}
		v, _ := a.weakest(func(r *Reservation) bool { return r.kind == Connection })
		if v == nil {
			return false
		}
		a.end(v)
	}
	return true
}
