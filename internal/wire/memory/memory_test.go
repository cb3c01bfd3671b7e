package memory

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/base/clock"
)

const mib = 1 << 20

// newAccount returns an account of 8 MiB, of which large bodies may have 6 MiB.
func newAccount() (*Account, *clock.Fake) {
	c := clock.NewFake(time.Unix(1000, 0))
	return New(Options{Clock: c, Bytes: 8 * mib, Descriptors: 64}), c
}

// holder is a body whose cut is recorded.
type holder struct {
	*Reservation
	told int
}

func (a *Account) body(t *testing.T, n int64) *holder {
	t.Helper()
	h := &holder{}
	h.Reservation = a.Reserve(Body, func() { h.told++ })
	assert.Assert(t, h.Cover(n))
	return h
}

// Guards against cutting small holders, or finished ones, while a larger unfinished one is there.
func TestLargestUnfinishedHolderYieldsFirst(t *testing.T) {
	a, _ := newAccount()
	finished, small, large := a.body(t, 3*mib), a.body(t, mib/2), a.body(t, 2*mib)
	assert.Assert(t, finished.Finish(Upstream))
	next := a.body(t, mib)
	assert.Equal(t, large.told, 1)
	assert.Assert(t, large.WasCut() && !large.Cover(3*mib) && !large.Finish(Upstream))
	assert.Equal(t, small.told+finished.told+next.told, 0)
	large.Release()
	large.Release()
	assert.Equal(t, a.Usage().Held, int64(4*mib+mib/2))
}

// Guards against a growing holder that pushes out smaller ones until it has everything.
func TestLargestHolderGetsNoMore(t *testing.T) {
	a, _ := newAccount()
	small, large := a.body(t, mib), a.body(t, 5*mib)
	assert.Assert(t, !large.Cover(6*mib))
	assert.Equal(t, small.told, 0)
	assert.Assert(t, !large.WasCut())
}

// Guards against callers that stand still and hold the memory, while those that still send are refused.
func TestHolderThatStandsStillYieldsToOneThatGrows(t *testing.T) {
	a, c := newAccount()
	var still []*holder
	for range 6 {
		still = append(still, a.body(t, mib-1))
	}
	c.Advance(10 * time.Second)
	sending := a.body(t, 64<<10)
	for n := int64(1); n <= 4; n++ {
		assert.Assert(t, sending.Cover(n*mib), "%d MiB", n)
		for _, h := range still {
			if h.WasCut() {
				h.Release()
			}
		}
	}
	assert.Equal(t, sending.told, 0)
}

// Guards against a burst that tells many holders to end and takes their room before they have given it back.
func TestHoldersThatEndAreBounded(t *testing.T) {
	a, c := newAccount()
	var still []*holder
	for range 6 {
		still = append(still, a.body(t, mib))
	}
	c.Advance(10 * time.Second)
	burst := a.Reserve(Body, func() {})
	assert.Assert(t, !burst.Cover(3*mib), "three would have to end")
	assert.Equal(t, a.Usage().Held, int64(6*mib))
	assert.Assert(t, burst.Cover(2*mib), "two may")
	assert.Equal(t, a.Usage().Held, int64(8*mib))
	assert.Assert(t, !a.Reserve(Body, func() {}).Cover(mib))
	for _, h := range still {
		if h.WasCut() {
			h.Release()
		}
	}
	assert.Assert(t, a.Reserve(Body, func() {}).Cover(mib))
}

// Guards against large holders that leave no room for ordinary requests: the last part is kept for small ones.
func TestSmallHoldersHaveRoomBesideLargeOnes(t *testing.T) {
	a, _ := newAccount()
	body := a.body(t, 6*mib)
	assert.Assert(t, body.Finish(Upstream))
	answer := a.Reserve(Answer, nil)
	assert.Assert(t, answer.Cover(mib))
	assert.Assert(t, !a.Reserve(Answer, nil).Cover(largeBytes), "the rest is for small ones")
	for range 8 {
		assert.Assert(t, a.Reserve(Body, func() {}).Cover(largeBytes-1))
	}
	assert.Assert(t, a.Usage().Held <= 8*mib)
}

// Guards against one kind that shuts out the others.
func TestNoKindTakesAll(t *testing.T) {
	a, _ := newAccount()
	answers := int64(0)
	for a.Reserve(Answer, nil).Cover(mib / 4) {
		answers += mib / 4
	}
	assert.Equal(t, answers, int64(4*mib))
	assert.Assert(t, a.Reserve(Body, func() {}).Cover(2*mib))
}

// Guards against more open descriptors than the VM has, and against refusing new callers because idle connections are kept.
func TestIdleConnectionsYieldToNewOnes(t *testing.T) {
	a, c := newAccount()
	var cut []int
	var conns []*Reservation
	for i := range 40 {
		r, err := a.Connect(Callers, func() { cut = append(cut, i) })
		assert.NilError(t, err)
		conns = append(conns, r)
		c.Advance(time.Second)
	}
	assert.Equal(t, len(cut), 0)
	conns[0].Busy(true)
	_, err := a.Connect(Callers, func() {})
	assert.NilError(t, err)
	assert.DeepEqual(t, cut, []int{1, 2}) // the busy one needs a second descriptor
	for _, r := range conns {
		r.Busy(true)
	}
	_, err = a.Connect(Callers, func() {})
	assert.Assert(t, errors.Is(err, ErrFull))
	u := a.Usage()
	assert.Assert(t, u.Open+u.Busy <= 64-spareFiles, "%+v", u)
	for _, r := range conns {
		r.Release()
	}
	assert.Equal(t, a.Usage().Busy, 0)
}

// Guards against bytes that are lost or counted twice.
func TestReleasedAccountIsEmpty(t *testing.T) {
	a, _ := newAccount()
	r, err := a.Connect(Peers, func() {})
	assert.NilError(t, err)
	r.Busy(true)
	assert.Assert(t, r.Grow(100))
	r.Busy(false)
	assert.Equal(t, r.Held(), int64(IdleBytes))
	b := a.body(t, 100)
	assert.Assert(t, b.Finish(Upstream))
	b.Shrink(10)
	b.Release()
	r.Release()
	u := a.Usage()
	assert.Equal(t, u.Held, int64(0))
	for _, k := range u.Kinds {
		assert.Equal(t, k.Bytes, int64(0), "%s", k.Kind)
	}
}

// Guards against bodies that arrive changed, and against a reservation for bytes that are announced and do not arrive.
func TestReadAllReservesWhatArrives(t *testing.T) {
	for _, n := range []int{0, 1, FreeBytes - 1, FreeBytes, FreeBytes + 1, firstRead, firstRead + 1, 300_000, mib} {
		text := strings.Repeat("x", n)
		for _, size := range []int64{-1, int64(n)} {
			a, _ := newAccount()
			r := a.Reserve(Body, func() {})
			got, err := r.ReadAll(strings.NewReader(text), size)
			assert.NilError(t, err)
			assert.Assert(t, string(got) == text, "%d of %d", len(got), n)
			assert.Assert(t, r.Held() <= int64(max(2*n, firstRead)+1))
		}
	}
	a, _ := newAccount()
	r := a.Reserve(Body, func() {})
	_, err := r.ReadAll(io.MultiReader(strings.NewReader("x"), errReader{}), 4*mib)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Assert(t, r.Held() <= firstRead)
	_, err = a.Reserve(Body, func() {}).ReadAll(strings.NewReader(strings.Repeat("x", 7*mib)), 7*mib)
	assert.ErrorIs(t, err, ErrFull)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against bounds that leave no room on the smallest VM for the largest body.
func TestBoundFollowsTheMachine(t *testing.T) {
	assert.Assert(t, Bound(144_000_000) > 2*4*mib)
	a := New(Options{Clock: clock.Real(), Bytes: Bound(144_000_000)})
	_, err := a.Reserve(Message, func() {}).ReadAll(strings.NewReader(strings.Repeat("m", 16*mib)), -1)
	assert.NilError(t, err, "the largest message of another process")
	assert.Assert(t, Bound(20_000_000) > 0)
	assert.Assert(t, Bound(424_000_000) > 3*Bound(144_000_000))
	var none *Account
	r, err := none.Connect(Callers, func() {})
	assert.NilError(t, err)
	assert.Assert(t, r.Cover(1<<40) && r.Finish(Upstream) && !r.WasCut())
	got, err := none.Reserve(Body, nil).ReadAll(strings.NewReader("ab"), 2)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "ab")
}

// Guards against cutting a holder that holds nothing, such as a request whose body begins to arrive, or a connection between processes: it
// makes no room.
func TestHoldersOfNothingAreNotCut(t *testing.T) {
	a, _ := newAccount()
	empty := a.body(t, 0)
	assert.Assert(t, a.Reserve(Connection, nil).Cover(6*mib))
	assert.Assert(t, !a.Reserve(Answer, nil).Cover(2*mib))
	assert.Equal(t, empty.told, 0)
	assert.Assert(t, empty.Finish(Upstream))
}

// Guards against connections that keep what they hold while the rest of their request does not come, and against cutting those that wait for
// nothing.
func TestConnectionYieldsWhileItWaitsForABody(t *testing.T) {
	a, c := newAccount()
	told := 0
	r, err := a.Connect(Callers, func() { told++ })
	assert.NilError(t, err)
	assert.Assert(t, r.Cover(7*mib))
	r.Busy(true)
	assert.Assert(t, !a.Reserve(Body, func() {}).Cover(mib), "it waits for nothing")
	r.Await()
	assert.Assert(t, r.Arrived())
	assert.Equal(t, told, 0)
	r.Await()
	c.Advance(time.Second)
	a.body(t, mib)
	assert.Equal(t, told, 1)
	assert.Assert(t, !r.Arrived())
}

// Guards against a body that is cut in the short waits of an upstream that reads, and against one that stays for an upstream that does not.
func TestBodyYieldsWhenItsUpstreamStalls(t *testing.T) {
	a, c := newAccount()
	told := 0
	sent := a.body(t, 5*mib)
	assert.Assert(t, sent.Finish(Upstream))
	sent.Stall(2*time.Second, func() { told++ })
	c.Advance(time.Second)
	assert.Assert(t, !a.Reserve(Body, func() {}).Cover(2*mib), "it may still be read")
	assert.Equal(t, told, 0)
	c.Advance(2 * time.Second)
	a.body(t, 2*mib)
	assert.Equal(t, told, 1)
	assert.Assert(t, !sent.Arrived())
}

// Guards against memory that is kept in case that somebody asks for it while others need it.
func TestKeptMemoryYields(t *testing.T) {
	a, c := newAccount()
	told := 0
	old := a.Reserve(Answer, nil)
	assert.Assert(t, old.Cover(3*mib))
	assert.Assert(t, !a.Reserve(Answer, nil).Cover(2*mib), "it is in use")
	old.Keep(func() { told++ })
	c.Advance(time.Second)
	assert.Assert(t, a.Reserve(Answer, nil).Cover(2*mib))
	assert.Equal(t, told, 1)
}

// Guards against a crowd on one side that leaves no descriptor to the others.
func TestEachSideLeavesDescriptorsToTheNext(t *testing.T) {
	a := New(Options{Clock: clock.NewFake(time.Unix(1000, 0)), Bytes: 64 * mib, Descriptors: 160})
	fill := func(side Side) (n int) {
		for {
			r, err := a.Connect(side, func() {})
			if err != nil {
				return n
			}
			r.Busy(true)
			n++
		}
	}
	assert.Equal(t, fill(Callers), (160-spareFiles-20)/2) // each may need a connection to an upstream
	assert.Equal(t, fill(Operators), 5)
	assert.Equal(t, fill(Peers), 5)
}
