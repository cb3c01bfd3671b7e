package batch

import (
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// Messages to free results arrive while the node stops. Guards against work that is started while Close waits for its end, which the
// race detector reports.
func TestResultsAreFreedDuringClose(t *testing.T) {
	for range 20 {
		_, b, _ := newPair(t, answerWithHandles)
		begun := make(chan bool)
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := range 200 {
				body, err := cbor.Marshal(message{Service: "s", Free: []ResultRef{{fmt.Sprint("h", i), "u1"}}})
				assert.Check(t, err)
				_, err = b.Handle(t.Context(), body)
				assert.Check(t, err)
				if i == 20 {
					close(begun)
				}
			}
		})
		<-begun
		b.Close()
		wg.Wait()
	}
}
