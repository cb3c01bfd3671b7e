package batch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/stage"
)

// Guards against pieces that lose their order within the rank on the way to the node that keeps the queue.
func TestOrderReachesTheQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	var q message
	q.pack([]stage.Job{{Order: stage.FirstOrder}, {Order: stage.LastOrder}, {}}, now)
	jobs, _, err := q.unpack(now)
	assert.NilError(t, err)
	assert.Equal(t, jobs[0].Order, stage.FirstOrder)
	assert.Equal(t, jobs[1].Order, stage.LastOrder)
	assert.Equal(t, jobs[2].Order, 0)
}
