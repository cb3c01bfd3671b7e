package upview

import (
	"slices"
	"strings"
	"time"
)

// MaxSummaryAge is the age after which a summary is no longer used for routing. Summaries are sent once a second, and a
// partition between regions lasts minutes, so routing stops using a partitioned data centre after a few lost summaries.
const MaxSummaryAge = 5 * time.Second

// Summary is the aggregate state of one pool in a data centre, sent to the other data centres.
type Summary struct {
	Pool       string        `cbor:"pool"`
	DataCentre string        `cbor:"data_centre"`
	Region     string        `cbor:"region"`
	Live       int           `cbor:"live"`
	FreeSlots  int           `cbor:"free_slots"`
	QueueP90   time.Duration `cbor:"queue_p90"` // 90th percentile of the reported queue delays
	At         time.Time     `cbor:"at"`        // time of computation, by the sender's clock
}

// Usable reports whether the summary is recent enough for routing and counts at least one live upstream.
func (s Summary) Usable(now time.Time) bool { return s.Live > 0 && now.Sub(s.At) <= MaxSummaryAge }

// Summarize computes the summaries of all pools in a data centre, sorted by pool name.
func (v *View) Summarize(now time.Time, dataCentre, region string) []Summary {
	var out []Summary
	for p, list := range v.byDataCentre {
		if p.dataCentre == dataCentre {
			out = append(out, summarize(now, p.pool, dataCentre, region, list))
		}
	}
	slices.SortFunc(out, func(a, b Summary) int { return strings.Compare(a.Pool, b.Pool) })
	return out
}

func summarize(now time.Time, pool, dataCentre, region string, list []*Upstream) Summary {
	s := Summary{Pool: pool, DataCentre: dataCentre, Region: region, At: now}
	var queue []int64
	for _, u := range list {
		if !u.Live(now) {
			continue
		}
		s.Live++
		s.FreeSlots += max(u.Slots-u.Load.Running-u.Load.Waiting, 0)
		queue = append(queue, u.Load.QueueMS)
	}
	if len(queue) > 0 {
		slices.Sort(queue)
		s.QueueP90 = time.Duration(queue[(len(queue)*9+9)/10-1]) * time.Millisecond
	}
	return s
}

// StoreSummary stores a summary from another data centre and reports whether it is newer than the stored one.
func (t *Table) StoreSummary(s Summary) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := poolKey{s.Pool, s.DataCentre}
	if old, ok := t.summaries[p]; ok && !s.At.After(old.At) {
		return false
	}
	t.summaries[p] = s
	t.stale.Store(true)
	return true
}

// Summaries returns the summaries of a pool from other data centres, sorted by data centre. The caller checks Usable.
func (v *View) Summaries(pool string) []Summary { return v.summaries[pool] }

func (t *Table) summaryLists() map[string][]Summary {
	if len(t.summaries) == 0 {
		return nil
	}
	out := map[string][]Summary{}
	for p, s := range t.summaries {
		out[p.pool] = append(out[p.pool], s)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b Summary) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	}
	return out
}
