package ctlsrv

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// Guards against a directory that keeps to the regions of an old configuration, or decodes the configuration for each query.
func TestHostRegionsFollowTheNewestConfiguration(t *testing.T) {
	var h hostRegions
	decoded := 0
	decode := func(body []byte) (*conf.Config, error) {
		decoded++
		return conf.Decode(body)
	}
	at := func(version uint64, regions string) string {
		body := fmt.Sprintf(`{"version": %d, "routes": [{"name": "r", "host": "h.example", "prefix": "/", "regions": [%s]}]}`, version, regions)
		return h.of(vdoc.Document{Version: version, Body: []byte(body)}, "h.example", decode).String()
	}
	assert.Equal(t, h.of(vdoc.Document{}, "h.example", decode).String(), "all")
	assert.Equal(t, at(1, ""), "all")
	assert.Equal(t, at(2, `"south"`), "south")
	assert.Equal(t, at(2, `"south"`), "south")
	assert.Equal(t, decoded, 2)
}
