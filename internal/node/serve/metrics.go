package serve

import (
	"github.com/zeromicro/go-zero/rest"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/node/meter"
	"github.com/berylledge/berylledge/internal/state/raft"
)

// routes are those of administration and metrics.
func (p *Process) routes() []rest.Route { return append(p.admin.Routes(), p.meter.Route()) }

// sample reads the state of the process for the metrics.
func (p *Process) sample() meter.Sample {
	counters := p.hub.Counters()
	s := meter.Sample{Nodes: map[string]int{}, Peer: counters, Dropped: map[string]int64{
		"peer": counters.Dropped, "agent": p.agent.Dropped(),
	}}
	for _, state := range []member.State{member.Alive, member.Draining, member.Suspect, member.Failed, member.Left} {
		s.Nodes[state.String()] = 0 // a state without a node is published as 0
	}
	for _, n := range p.agent.Nodes() {
		s.Nodes[n.State.String()]++
	}
	select {
	case <-p.ready:
	default:
		return s // the roles are still being built
	}
	if p.entry != nil {
		load := p.entry.Load()
		s.Admission, s.Draining, s.Revision = &load, p.entry.Draining(), p.entry.Revision()
	}
	if p.ctrl != nil {
		if st, ok := p.ctrl.Status(); ok {
			s.Dropped["control"] = int64(st.Dropped)
			s.Control = &meter.Control{
				Term: st.Raft.Term, Commit: st.Raft.Commit, Leads: st.Raft.Role == raft.Leader, HasLeader: st.Raft.Leader != "",
			}
		}
	}
	return s
}
