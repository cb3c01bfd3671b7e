package gated

import (
	"fmt"
	"net/http"
	"strings"
)

// metrics writes the counters of the process in the text format of Prometheus.
func (p *Process) metrics(w http.ResponseWriter, _ *http.Request) {
	var b strings.Builder
	line := func(name, labels string, value any) { fmt.Fprintf(&b, "berylledge_%s%s %v\n", name, labels, value) }
	c := p.hub.Counters()
	for _, v := range c.Kinds {
		labels := fmt.Sprintf(`{kind="%s"}`, v.Kind)
		line("peer_bytes_out", labels, v.Bytes)
		line("peer_messages_out", labels, v.Messages)
	}
	line("peer_dropped", "", c.Dropped)
	if p.member != nil {
		s, _ := p.member.Status()
		line("group_term", "", s.Raft.Term)
		line("group_members", "", len(s.Raft.Members))
		line("config_version", "", p.member.Latest().Version)
		for state, n := range p.desk.Upstreams() {
			line("upstreams", fmt.Sprintf(`{state="%d"}`, state), n)
		}
		line("suspect_contents", `{role="control"}`, p.desk.Suspects())
	}
	if p.front != nil {
		line("suspect_contents", `{role="entry"}`, p.board.Len())
		line("config_version", "", p.feed.Version())
		p.front.WriteMetrics(line)
		p.maker.WriteMetrics(line)
		line("dialed", "", p.pool.Dialed())
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	_, _ = w.Write([]byte(b.String())) // the reader has gone; it asks again
}
