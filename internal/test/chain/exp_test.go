package chain

import (
	"fmt"
	"sync"
	"testing"
)

func TestExp(t *testing.T) {
	names := []string{"1calm", "2own", "3least", "4both", "5owners", "6hboth", "7hmid"}
	p := patterns()
	const seeds = 3
	res := make([][]Result, len(names))
	var wg sync.WaitGroup
	sem := make(chan bool, 4)
	for i, n := range names {
		res[i] = make([]Result, seeds)
		for s := range seeds {
			wg.Go(func() {
				sem <- true
				defer func() { <-sem }()
				o := p[n]
				o.Seed = uint64(s + 1)
				res[i][s] = Run(o)
			})
		}
	}
	wg.Wait()
	for i, n := range names {
		var w, pc, nr float64
		txt := ""
		for _, r := range res[i] {
			w += r.Worth() / seeds
			pc += float64(r.Pieces) / float64(r.Calls) / seeds
			nr += float64(r.NoRoom) / seeds
		}
		for _, k := range []string{"review", "check", "hint"} {
			var sh, on, late, ref, sent float64
			for _, r := range res[i] {
				c := r.Kinds[k]
				sh += c.Share() / seeds
				on += float64(c.OnTime) / seeds
				late += float64(c.Late) / seeds
				ref += float64(c.Refused) / seeds
				sent += float64(c.Sent) / seeds
			}
			c := res[i][0].Kinds[k]
			txt += fmt.Sprintf(" | %s %.3f (%.0f: %.0f/%.0f/%.0f st %d/%d)", k, sh, sent, on, late, ref, percentile(c.Stages, .5).Milliseconds(), percentile(c.Stages, .9).Milliseconds())
		}
		fmt.Printf("%-8s worth %.3f pc %.1f nr %.0f%s\n", n, w, pc, nr, txt)
	}
}
