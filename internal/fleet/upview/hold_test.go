package upview_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Guards against a drained upstream that gets work when it announces itself again, a drained one that stays out of service
// after its restart, and an ejected one that returns to service by a restart.
func TestHoldEndsWithItsRunUnlessItIsForAllRuns(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name         string
		hold         upview.Hold
		afterRestart bool
	}{
		{"drain", upview.Hold{Version: 1, Incarnation: 1}, true},
		{"eject", upview.Hold{Version: 1}, false},
	} {
		up := upview.New()
		live := func() bool { return up.View().Get("u").Live(now) }
		announce := func(incarnation uint64) {
			up.Announce(now, upapi.Announce{ID: "u", Kind: upapi.KindEncoder, Services: []string{"encode"}, Incarnation: incarnation, LeaseMS: 5000})
		}
		announce(1)
		known, was := up.SetHold("u", c.hold)
		assert.Assert(t, known && !was, c.name)
		assert.Assert(t, !live(), c.name)
		assert.Assert(t, !up.View().Pool("encode")[0].Live(now), c.name)
		announce(1)
		assert.Assert(t, !live(), c.name)
		announce(2)
		assert.Equal(t, live(), c.afterRestart, c.name)
		_, was = up.SetHold("u", upview.Hold{Version: 2, Released: true})
		assert.Equal(t, was, !c.afterRestart, c.name)
		assert.Assert(t, live(), c.name)
	}
}

// Guards against an older hold from a disconnected node that replaces a newer one, in either order of arrival, and against
// holds that are never removed.
func TestNewestHoldCounts(t *testing.T) {
	eject, release := upview.Hold{Version: 10}, upview.Hold{Version: 11, Released: true}
	for _, order := range [][]upview.Hold{{eject, release}, {release, eject}} {
		up := upview.New()
		for _, h := range order {
			up.SetHold("u", h)
		}
		assert.Equal(t, up.Holds()["u"], release)
		up.Expired(time.Unix(0, 0), time.Unix(0, 11).Add(25*time.Hour))
		assert.Equal(t, len(up.Holds()), 0)
	}
	same := upview.New()
	same.SetHold("u", upview.Hold{Version: 10, Released: true})
	same.SetHold("u", eject)
	assert.Equal(t, same.Holds()["u"], eject)
}
