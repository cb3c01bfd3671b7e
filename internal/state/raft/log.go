package raft

import "sort"

// log holds the entries after base. Returned slices stay valid because entries are never overwritten in place.
type log struct {
	base, baseTerm uint64
	entries        []Entry
}

// newLog builds the log from the stored state. If the entries reach back to the snapshot index or further, the first
// one becomes the base, because the term of its predecessor is no longer known.
func newLog(r DurableState) log {
	var l log
	if r.Snapshot != nil {
		l.base, l.baseTerm = r.Snapshot.Index, r.Snapshot.Term
	}
	entries := r.Entries
	if len(entries) > 0 && entries[0].Index <= l.base {
		l.base, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	l.entries = append(l.entries, entries...)
	return l
}

func (l *log) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the log does not contain it.
func (l *log) term(index uint64) (uint64, bool) {
	if index < l.base || index > l.last() {
		return 0, false
	}
	if index == l.base {
		return l.baseTerm, true
	}
	return l.entries[index-l.base-1].Term, true
}

func (l *log) has(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// between returns the entries from lo to hi, inclusive.
func (l *log) between(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	n := hi - l.base
	return l.entries[lo-l.base-1 : n : n]
}

// entriesFrom returns entries starting at lo with a total size of at most maxBytes, but at least one if there is one.
func (l *log) entriesFrom(lo uint64, maxBytes int) []Entry {
	rest := l.entries[lo-l.base-1:]
	size := 0
	for i, e := range rest {
		size += e.size()
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest[:len(rest):len(rest)]
}

func (l *log) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on. It limits the capacity of the slice so that the next append does not
// overwrite entries that messages and Persist actions still reference.
func (l *log) truncate(index uint64) {
	n := index - l.base - 1
	l.entries = l.entries[:n:n]
}

// compact removes the entries up to and including index.
func (l *log) compact(index uint64) {
	if index <= l.base {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]Entry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, t
}

// firstOfTerm returns the first index in the log whose entry has the given term or a later one.
func (l *log) firstOfTerm(term uint64) uint64 {
	n := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].Term >= term })
	return l.base + 1 + uint64(n)
}

// isNewerLog reports whether the log ending at A is newer than the one ending at B: by last term, then by last index.
func isNewerLog(termA, indexA, termB, indexB uint64) bool {
	return termA > termB || termA == termB && indexA > indexB
}
