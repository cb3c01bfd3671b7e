package stream_test

import (
	"encoding/json"
	"testing"

	"github.com/berylledge/berylledge/internal/flow/stream"
	"github.com/berylledge/berylledge/pkg/upapi"
)

// Guards against chunks of a faulty upstream that crash the node or make a stream complete without all of its chunks.
func FuzzChunks(f *testing.F) {
	f.Add(`{"choices":[{"text":"a"}],"berylledge":{"request_id":"r","stage":"s","attempt":1,"offset":0}}`)
	f.Add(`{"berylledge":{"request_id":"r","stage":"s","attempt":1,"end":true,"count":-1}}`)
	f.Fuzz(func(t *testing.T, data string) {
		var c upapi.Chunk
		if json.Unmarshal([]byte(data), &c) != nil {
			return
		}
		a := stream.NewAssembler(work, 0)
		texts := len(a.Add(c).Texts) + len(a.Add(c).Texts)
		if a.Complete() && texts != a.Next() {
			t.Fatalf("complete with %d texts and next %d", texts, a.Next())
		}
	})
}
