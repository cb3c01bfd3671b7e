package ctlsrv

import (
	"sync"

	"github.com/berylledge/berylledge/internal/gate/conf"
	"github.com/berylledge/berylledge/internal/gate/region"
	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// hostRegions answers which regions the routes of a host may use. It indexes each version of the configuration once. The zero
// value is ready to use.
type hostRegions struct {
	mu      sync.Mutex
	version uint64
	table   *conf.Table // nil before the first configuration
}

// of returns the regions that all restricted routes of a host allow in the newest configuration. One that cannot be decoded,
// which putConfig does not store, leaves the one before in use.
func (h *hostRegions) of(latest vdoc.Document, host string, decode func([]byte) (*conf.Config, error)) region.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	if latest.Version > h.version {
		h.version = latest.Version
		if cfg, err := decode(latest.Body); err == nil {
			h.table = conf.NewTable(cfg)
		}
	}
	if h.table == nil {
		return region.Set{}
	}
	return h.table.HostRegions(host)
}
