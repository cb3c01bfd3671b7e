package gwnode

import "github.com/berylledge/berylledge/internal/node/quota"

const bytesPerMB = 1_000_000

// Quota returns what the process may use; what the limits do not name comes from the system.
func (l Limits) Quota() quota.Quota { return quota.Of(int64(l.MemoryMB*bytesPerMB), l.Descriptors) }
