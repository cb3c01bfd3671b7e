package entry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/berylledge/berylledge/pkg/upapi"
)

// Guards against an announcement whose address cannot be reached: every node would take it into its list and try it.
func TestAnnouncedAddressIsChecked(t *testing.T) {
	a := upapi.Announce{ID: "e1", Kind: upapi.KindEncoder, Services: []string{"encode"}, Slots: 1, LeaseMS: minLeaseMS, Address: "10.0.0.1:80"}
	assert.Equal(t, checkAnnounce(a), "")
	for _, address := range []string{"", "10.0.0.1", "host:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:x"} {
		a.Address = address
		assert.Assert(t, checkAnnounce(a) != "", "%q", address)
	}
}
