package serve

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/event"
)

// serveEvents answers the question for the events that a filter selects.
func (p *Process) serveEvents(body []byte) ([]byte, error) {
	var f event.Filter
	if err := cbor.Unmarshal(body, &f); err != nil {
		return nil, err
	}
	return cbor.Marshal(p.events.Select(f))
}
