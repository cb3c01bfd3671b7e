package gwnode

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Guards against a log that does not tell which messages fill a link.
func TestTrafficLineNamesWhatGrew(t *testing.T) {
	last := peer.Counters{Kinds: []peer.KindVolume{{Kind: peer.KindRaft, Messages: 5, Bytes: 500}, {Kind: peer.KindFollow, Messages: 2, Bytes: 90}}}
	now := peer.Counters{Kinds: []peer.KindVolume{
		{Kind: peer.KindRaft, Messages: 7, Bytes: 600}, {Kind: peer.KindRoster, Messages: 4, Bytes: 4000}, {Kind: peer.KindFollow, Messages: 2, Bytes: 90},
	}}
	assert.Equal(t, trafficText(now, last), "roster=4/4000 raft=2/100")
}
