package serve

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/node/crashd"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// entryPeers returns the addresses of the entry nodes for messages between processes.
func (p *Process) entryPeers() []string {
	var out []string
	for _, n := range p.agent.Nodes() {
		if n.Roles&member.RoleEntry != 0 && n.State < member.Failed {
			out = append(out, n.Address)
		}
	}
	return out
}

// askTimeout bounds one question, so that a control node that is cut off does not use up the time of the others.
const askTimeout = 500 * time.Millisecond

// fetchSuspects asks control nodes for all crash suspects, until one answers.
func (p *Process) fetchSuspects(ctx context.Context) (news rstate.CrashNews, err error) {
	err = errors.New("no control node is known")
	for _, address := range p.controlAddresses() {
		var body []byte
		try, cancel := context.WithTimeout(ctx, askTimeout)
		body, err = p.askControl(try, address, peer.KindAskCrash, nil)
		cancel()
		if err == nil {
			return news, decSuspects.Unmarshal(body, &news)
		}
	}
	return news, err
}

// learnSuspects takes the news of the leader of the control group.
func (p *Process) learnSuspects(from string, body []byte) error {
	var news rstate.CrashNews
	if err := decSuspects.Unmarshal(body, &news); err != nil {
		p.events.Emit(event.PeerMessageRefused, event.F("peer", from), event.F("reason", err))
		return err
	}
	if p.guard != nil {
		p.guard.ApplyUpdate(news)
	}
	return nil
}

// Guard returns the crash defence, nil without the entry role.
func (p *Process) Guard() *crashd.Guard { return p.guard }

var decSuspects = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1 << 15, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return m
}()
