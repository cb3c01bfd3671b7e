package gwnode

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// trafficEvery is the time between two lines on what was sent to other processes.
const trafficEvery = 10 * time.Second

// logTraffic writes a line on what was sent to other processes, again and again.
func (p *Process) logTraffic() {
	var last peer.Counters
	for clock.Sleep(p.ctx, p.o.Clock, trafficEvery) == nil {
		now := p.hub.Counters()
		p.events.Emit(event.PeerTraffic, event.F("kinds", trafficText(now, last)), event.F("dropped", now.Dropped-last.Dropped),
			event.F("seconds", int(trafficEvery.Seconds())))
		last = now
	}
}

// trafficText describes what was sent between two readings of the counters.
func trafficText(now, last peer.Counters) string {
	before := map[peer.Kind]peer.KindVolume{}
	for _, v := range last.Kinds {
		before[v.Kind] = v
	}
	var grown []peer.KindVolume
	for _, v := range now.Kinds {
		v.Messages -= before[v.Kind].Messages
		v.Bytes -= before[v.Kind].Bytes
		if v.Messages > 0 {
			grown = append(grown, v)
		}
	}
	slices.SortFunc(grown, func(a, b peer.KindVolume) int {
		return cmp.Or(cmp.Compare(b.Bytes, a.Bytes), cmp.Compare(a.Kind, b.Kind))
	})
	words := make([]string, len(grown))
	for i, v := range grown {
		words[i] = fmt.Sprintf("%s=%d/%d", v.Kind, v.Messages, v.Bytes)
	}
	return strings.Join(words, " ")
}
