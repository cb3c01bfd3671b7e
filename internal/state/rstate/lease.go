package rstate

// Lease is the authority over an upstream. Its holder gives orders from NotBeforeMS on and before ExpiresMS.
type Lease struct {
	Upstream    string `cbor:"1,keyasint"`
	Fence       uint64 `cbor:"2,keyasint"`
	Holder      string `cbor:"3,keyasint"`
	NotBeforeMS int64  `cbor:"4,keyasint"`
	ExpiresMS   int64  `cbor:"5,keyasint"`
	ChecksFence bool   `cbor:"6,keyasint"`
	MaxOrderMS  int64  `cbor:"7,keyasint"`
	Released    bool   `cbor:"8,keyasint,omitempty"`
}

// order is an issued order id.
type order struct {
	Fence uint64 `cbor:"1,keyasint"`
}

// quietMS returns the moment from which no order of this holder, or of one before it, can still be running: the end of
// the lease, plus the drift between the clocks of the old and the new holder, plus the longest time of an order.
func (s *State) quietMS(l *Lease) int64 {
	return max(l.NotBeforeMS, l.ExpiresMS+s.limits.ClockDriftMS+l.MaxOrderMS)
}

// putLease keeps a lease until it is quiet. After that it can be forgotten: fences come from one counter, so the next
// fence of the upstream is higher in any case.
func (s *State) putLease(l Lease) { s.leases.put(l.Upstream, s.quietMS(&l)+1, l) }

func (s *State) acquireLease(c AcquireLease) LeaseResult {
	if c.TTLMS > s.limits.MaxLeaseMS || c.MaxOrderMS > s.limits.MaxOrderMS {
		return LeaseResult{Status: LeaseRefused}
	}
	old := s.leases.get(c.Upstream)
	switch {
	case old == nil && s.leases.len() >= s.limits.MaxLeases:
		return LeaseResult{Status: LeaseFull}
	case old != nil && s.nowMS < old.ExpiresMS && old.Holder == c.Holder:
		return LeaseResult{Status: LeaseGranted, Lease: *old} // a resend
	case old != nil && s.nowMS < old.ExpiresMS:
		return LeaseResult{Status: LeaseHeld, Lease: *old}
	}
	s.fence++
	l := Lease{
		Upstream: c.Upstream, Fence: s.fence, Holder: c.Holder, NotBeforeMS: s.nowMS, ExpiresMS: s.nowMS + c.TTLMS,
		ChecksFence: c.ChecksFence, MaxOrderMS: c.MaxOrderMS,
	}
	if old != nil {
		// The wait for an earlier holder outlasts a short lease in between.
		l.NotBeforeMS = max(l.NotBeforeMS, old.NotBeforeMS)
	}
	if old != nil && (!old.ChecksFence || !c.ChecksFence) {
		l.NotBeforeMS = max(l.NotBeforeMS, s.quietMS(old))
	}
	s.putLease(l)
	return LeaseResult{Status: LeaseGranted, Lease: l}
}

// held returns the lease if this holder has it now.
func (s *State) held(upstream, holder string, fence uint64) *Lease {
	l := s.leases.get(upstream)
	if l == nil || l.Holder != holder || l.Fence != fence || s.nowMS >= l.ExpiresMS {
		return nil
	}
	return l
}

func (s *State) lost(upstream string) LeaseResult {
	r := LeaseResult{Status: LeaseLost}
	if l := s.leases.get(upstream); l != nil {
		r.Lease = *l
	}
	return r
}

func (s *State) renewLease(c RenewLease) LeaseResult {
	if c.TTLMS > s.limits.MaxLeaseMS {
		return LeaseResult{Status: LeaseRefused}
	}
	l := s.held(c.Upstream, c.Holder, c.Fence)
	if l == nil {
		return s.lost(c.Upstream)
	}
	next := *l
	next.ExpiresMS = max(next.ExpiresMS, s.nowMS+c.TTLMS)
	s.putLease(next)
	return LeaseResult{Status: LeaseGranted, Lease: next}
}

func (s *State) releaseLease(c ReleaseLease) LeaseResult {
	l := s.leases.get(c.Upstream)
	if l != nil && l.Released && l.Fence == c.Fence && l.Holder == c.Holder {
		return LeaseResult{Status: LeaseReleased, Lease: *l} // a resend
	}
	l = s.held(c.Upstream, c.Holder, c.Fence)
	if l == nil {
		return s.lost(c.Upstream)
	}
	next := *l
	next.ExpiresMS, next.Released = s.nowMS, true
	s.putLease(next)
	return LeaseResult{Status: LeaseReleased, Lease: next}
}

// recordOrder issues an order id once. Ids are remembered by the order's creation time, and an order created before the
// horizon of that memory is refused, so a forgotten id is not issued again. A resend after a lost answer gives
// OrderDuplicate: the holder then checks the upstream and, if the order is still wanted, issues it under a new id.
func (s *State) recordOrder(c RecordOrder) OrderResult {
	key := c.Upstream + "\x00" + c.OrderID
	if first := s.orders.get(key); first != nil {
		return OrderResult{Status: OrderDuplicate, Fence: first.Fence}
	}
	l := s.held(c.Upstream, c.Holder, c.Fence)
	switch {
	case c.CreatedMS <= s.orderHorizonMS:
		return OrderResult{Status: OrderExpired}
	case c.CreatedMS > s.nowMS+s.limits.ClockDriftMS:
		return OrderResult{Status: OrderRefused}
	case l == nil:
		return OrderResult{Status: OrderStale, Fence: s.lost(c.Upstream).Lease.Fence}
	case s.nowMS < l.NotBeforeMS:
		return OrderResult{Status: OrderNotYet, Fence: l.Fence, NotBeforeMS: l.NotBeforeMS}
	case s.orders.len() >= s.limits.MaxOrders:
		return OrderResult{Status: OrderFull, Fence: l.Fence}
	}
	s.orders.put(key, c.CreatedMS, order{l.Fence})
	return OrderResult{Status: OrderIssued, Fence: l.Fence}
}

// LeaseOf returns the lease of an upstream, which may have ended; false if there is none.
func (s *State) LeaseOf(upstream string) (Lease, bool) {
	if l := s.leases.get(upstream); l != nil {
		return *l, true
	}
	return Lease{}, false
}

// Leases returns all leases, ordered by upstream. Some may have ended.
func (s *State) Leases() []Lease { return values(s.leases) }

// bucketUnit is the number of units of the bucket's level in a byte. A level in thousandths of a byte makes the refill
// of one millisecond a whole number.
const bucketUnit = 1000

// bucket is the token bucket of the weight store. Its level may be negative: a download larger than the burst is
// granted from a full bucket, and later ones wait until the debt is refilled.
type bucket struct {
	Level int64 `cbor:"1,keyasint"`
	AtMS  int64 `cbor:"2,keyasint"`
}

func (s *State) grantDownload(c GrantDownload) DownloadResult {
	if first := s.downloads.get(c.DownloadID); first != nil {
		return *first
	}
	s.refill()
	// With MaxDownloads answers remembered, a grant whose answer is then lost would be charged twice; that delays
	// other downloads but never exceeds the store's rate.
	need := min(c.Bytes, s.limits.StoreBurstBytes) * bucketUnit
	if missing := need - s.bucket.Level; missing > 0 {
		return DownloadResult{RetryAfterMS: (missing + s.limits.StoreBytesPerSec - 1) / s.limits.StoreBytesPerSec}
	}
	s.bucket.Level -= c.Bytes * bucketUnit
	if s.downloads.len() >= s.limits.MaxDownloads {
		s.downloads.evict()
	}
	r := DownloadResult{Granted: true}
	s.downloads.put(c.DownloadID, s.nowMS+s.limits.DownloadMemoryMS, r)
	return r
}

func (s *State) refill() {
	full := s.limits.StoreBurstBytes * bucketUnit
	elapsed := s.nowMS - s.bucket.AtMS
	if wanted := full - s.bucket.Level; elapsed >= wanted/s.limits.StoreBytesPerSec+1 { // avoids an overflow below
		s.bucket = bucket{Level: full, AtMS: s.nowMS}
		return
	}
	s.bucket = bucket{Level: min(full, s.bucket.Level+elapsed*s.limits.StoreBytesPerSec), AtMS: s.nowMS}
}
