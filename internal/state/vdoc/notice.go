package vdoc

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Notice is a short message under a key. A later one under the same key replaces it, unless it is about an earlier run.
type Notice struct {
	Key  string `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint"`
	// Run is the start of the process that the notice is about, in any unit that increases; 0: the notice is about none, and is
	// ordered by the log alone, like those of earlier releases. Step orders the notices about one run.
	Run  int64 `cbor:"3,keyasint,omitempty"`
	Step uint8 `cbor:"4,keyasint,omitempty"`
}

// precedes reports whether n is about an earlier run than other, or an earlier step of the same run.
func (n Notice) precedes(other Notice) bool {
	if n.Run == 0 || other.Run == 0 {
		return false
	}
	return cmp.Or(cmp.Compare(n.Run, other.Run), cmp.Compare(n.Step, other.Step)) < 0
}

// maxNotices bounds the notices that are kept; it exceeds the upstreams of the largest fleet, which may all leave at once. They are
// dropped by number and not by age: every member must drop the same ones, and the members' clocks differ.
const maxNotices = 4096

// EncodeNotice returns the command that stores a notice.
func EncodeNotice(n Notice) ([]byte, error) { return cbor.Marshal(command{Notices: []Notice{n}}) }

// noticeList holds notices, oldest first, with the local number of each. The numbers increase with each notice that is stored
// here, also from a snapshot, and are not replicated.
type noticeList struct {
	list    []Notice
	numbers []uint64
	last    uint64
}

func (l *noticeList) store(n Notice) {
	if i := l.find(n.Key); i >= 0 {
		if n.precedes(l.list[i]) {
			return
		}
		l.remove(i)
	}
	if len(l.list) >= maxNotices {
		l.remove(0)
	}
	l.last++
	l.list = append(l.list, n)
	l.numbers = append(l.numbers, l.last)
}

func (l *noticeList) find(key string) int {
	return slices.IndexFunc(l.list, func(n Notice) bool { return n.Key == key })
}

func (l *noticeList) remove(i int) {
	l.list = slices.Delete(l.list, i, i+1)
	l.numbers = slices.Delete(l.numbers, i, i+1)
}

func (r *Replica) storeNotices(list []Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range list {
		r.notices.store(n)
	}
}

// Notices returns the notices that were stored here after the one with a number, oldest first, and the number of the last one.
// Their bodies must not be modified.
func (r *Replica) Notices(after uint64) (list []Notice, last uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &r.notices
	if after == l.last {
		return nil, l.last
	}
	i, _ := slices.BinarySearch(l.numbers, after+1)
	return slices.Clone(l.list[i:]), l.last
}

// Notice returns the latest notice under a key.
func (r *Replica) Notice(key string) (Notice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.notices.find(key)
	if i < 0 {
		return Notice{}, false
	}
	return r.notices.list[i], true
}
