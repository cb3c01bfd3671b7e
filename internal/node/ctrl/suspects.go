package ctrl

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/state/poison"
	"github.com/berylledge/berylledge/internal/state/rstate"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

const (
	// expireEvery is how often time passes for the suspects: held ones become isolated by it, and all expire.
	expireEvery = time.Second
	// maxTold is the number of suspects that are sent without being asked for: about 2 KB to each entry node.
	maxTold = 64
)

// noticeSuspects wakes watchSuspects after a change. It is called in the order of the log.
func (n *Node) noticeSuspects() {
	var version uint64
	n.table.Query(func(s *rstate.State) { version = s.CrashChanged() })
	if n.suspects.Swap(version) == version {
		return
	}
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// watchSuspects tells the entry nodes of changes at once and lets time pass for the suspects. Only the leader does so;
// what is lost with a leader is made up for by the entry nodes, which ask every 10 s.
func (n *Node) watchSuspects() {
	timer := n.o.Clock.NewTimer(expireEvery)
	defer timer.Stop()
	for {
		select {
		case <-n.changed:
			if n.leads() {
				n.tellSuspects()
			}
		case <-timer.C():
			timer.Reset(expireEvery)
			n.expireSuspects()
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) leads() bool {
	return n.running().Status().Raft.Leader == n.identity.Load().Member.ID
}

func (n *Node) tellSuspects() {
	var news rstate.CrashNews
	n.table.Query(func(s *rstate.State) { news = s.CrashNews() })
	if len(news.Entries) > maxTold {
		news = rstate.CrashNews{Version: news.Version, Brief: true}
	}
	body, err := n.suspectNews(news)
	if err != nil || n.o.Nodes == nil {
		return
	}
	for _, address := range n.o.Nodes() {
		n.o.Hub.Send(address, peer.KindCrash, body)
	}
}

// suspectNews encodes news; with the zero value, all suspects.
func (n *Node) suspectNews(news rstate.CrashNews) ([]byte, error) {
	if news.Version == 0 {
		n.table.Query(func(s *rstate.State) { news = s.CrashNews() })
	}
	return cbor.Marshal(news)
}

func (n *Node) expireSuspects() {
	count := 0
	n.table.Query(func(s *rstate.State) { count = len(s.Suspects()) })
	if count == 0 || !n.leads() {
		return
	}
	for _, c := range rstate.CrashCommands(poison.Expire{}, n.o.Clock.Now().UnixMilli()) {
		if body, err := rstate.EncodeCommand(c); err == nil {
			ctx, cancel := context.WithTimeout(n.ctx, beatTimeout)
			_, _ = n.running().Propose(ctx, body) // repeated by the next turn
			cancel()
		}
	}
}
