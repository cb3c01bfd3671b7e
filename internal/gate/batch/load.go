package batch

import (
	"github.com/berylledge/berylledge/internal/gate/speed"
	"github.com/berylledge/berylledge/internal/wire/upcon"
)

// noteLoad tells a queue what an upstream reported about its load with an answer. Invalid reports are ignored.
func (m *Batcher) noteLoad(q *queue, upstream string, resp *upcon.Response) {
	name := m.o.Dialect.Headers.Load
	if name == "" {
		return
	}
	if l, ok := speed.ParseLoad(resp.Header.Get(name)); ok {
		m.mu.Lock()
		defer m.mu.Unlock()
		q.ReportLoad(m.o.Clock.Now(), upstream, l)
	}
}
