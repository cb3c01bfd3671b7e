package speed

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against invalid headers that change a decision.
func TestParseLoad(t *testing.T) {
	for text, want := range map[string]Load{
		"1,2,4":           {1, 2, 4, 0},
		" 1, 2 ,4 ":       {1, 2, 4, 0},
		"1 2 4":           {1, 2, 4, 0},
		"0,0,1,100":       {0, 0, 1, 1},
		"0, 0, 1, 62.5":   {0, 0, 1, 0.625},
		"0 0 0 250":       {0, 0, 0, 2.5},
		"1000000,0,1,1":   {1_000_000, 0, 1, 0.01},
		"1,1,1,1600":      {1, 1, 1, 16},
		"+1,0,1":          {1, 0, 1, 0},
		"0000000001,0,01": {1, 0, 1, 0},
	} {
		got, ok := ParseLoad(text)
		assert.Assert(t, ok, "%q", text)
		assert.Equal(t, got, want, "%q", text)
	}
	for _, text := range []string{
		"", " ", ",", ",,", ",,,", "1", "1,2", "1,2,3,4,5", "a,b,c", "1,2,x", "-1,0,1", "0,-1,1", "0,0,-1", "0,0,1,", "0,0,1,0", "0,0,1,-100",
		"0,0,1,NaN", "0,0,1,Inf", "0,0,1,-Inf", "0,0,1,1e400", "0,0,1,1601", "0,0,1,x", "1.5,0,1", "1000001,0,1", "99999999999999999999,0,1",
		"1;2;4", "1 ,2 4", "1,2,4\x00", "running=1,waiting=2,slots=4", "１,0,1", "0,0,1,100%", strings.Repeat(" ", 200) + "1,2,4",
		strings.Repeat("1,", 10_000),
	} {
		_, ok := ParseLoad(text)
		assert.Assert(t, !ok, "%q", text)
	}
}

// Guards against a report that outlives the state of its machine.
func TestReportFadesToTheLearntFactor(t *testing.T) {
	var r Report
	assert.Equal(t, r.Blend(t0, 1.6), 1.6)
	r.Add(t0, 2.5)
	assert.Assert(t, math.Abs(r.Blend(t0, 1)-2.5) < 1e-9)
	previous := 2.5
	for _, age := range []time.Duration{100, 250, 500, 750} {
		f := r.Blend(t0.Add(age*time.Millisecond), 1)
		assert.Assert(t, f < previous, "%v", f)
		previous = f
	}
	assert.Equal(t, r.Blend(t0.Add(1100*time.Millisecond), 1), 1.0)
	assert.Equal(t, r.Blend(t0.Add(-time.Second), 1), r.Blend(t0, 1), "the clock may go back")
	for _, nonsense := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		r.Add(t0.Add(time.Hour), nonsense)
	}
	assert.Equal(t, r.Blend(t0.Add(time.Hour), 1.6), 1.6)
	r.Add(t0, 1e9)
	assert.Equal(t, r.Blend(t0, 1), float64(MaxFactor))
}

// Guards against a speed that counts twice if the reported figure contains it, or not at all if it does not, and against an upstream
// that is trusted for good although its reports are wrong.
func TestReportsAreComparedWithTheUsualOnes(t *testing.T) {
	for _, c := range []struct {
		name              string
		actual, told, now float64
		want              float64
	}{
		{"relative to the service", 1.6, 1.6, 1.6, 1.6},
		{"relative to the machine", 1.6, 1, 1, 1.6},
		{"a slow-down, relative to the service", 1.6, 1.6, 4, 4},
		{"a slow-down, relative to the machine", 1.6, 1, 2.5, 4},
		{"always wrong", 1, 0.01, 0.01, 1},
	} {
		var r Report
		now := t0
		for range 100 {
			now = now.Add(200 * time.Millisecond)
			r.Add(now, c.told)
			r.Learn(c.actual)
			r.Learn(10) // of an answer without a report
		}
		r.Add(now, c.now)
		assert.Assert(t, math.Abs(r.Blend(now, 1)/c.want-1) < 0.01, "%s: %v", c.name, r.Blend(now, 1))
	}
}

// Guards against learnt times that differ from configured ones which are right, and against calls of one size that are taken for the
// time of a piece.
func TestCallTimesStayAsConfigured(t *testing.T) {
	var c CallTimes
	c.Configure(150*time.Millisecond, 2*time.Millisecond)
	for i := range 1000 {
		n := 1 + i%8
		c.Learn(n, 150*time.Millisecond+time.Duration(n)*2*time.Millisecond)
		assert.Equal(t, c.Expected(n), 150*time.Millisecond+time.Duration(n)*2*time.Millisecond)
	}
	for range 1000 {
		c.Learn(8, 180*time.Millisecond)
	}
	fixed, piece := c.Times()
	assert.Assert(t, math.Abs(c.Expected(8).Seconds()-0.180) < 0.002, "%v", c.Expected(8))
	assert.Assert(t, fixed > 140*time.Millisecond && piece > time.Millisecond, "%v %v", fixed, piece)
	for range 1000 {
		c.Learn(4, 40*time.Millisecond)
	}
	assert.Equal(t, c.Expected(4), 158*time.Millisecond, "light pieces make no forecast for others")
	c.Configure(100*time.Millisecond, time.Millisecond)
	assert.Equal(t, c.Expected(1), 101*time.Millisecond)
}

// Guards against slow-downs of single upstreams, and nonsense, that count as the usual time of calls, and against a slow-down of the
// whole service that is never learnt.
func TestCallTimesAreRobust(t *testing.T) {
	var c CallTimes
	c.Configure(150*time.Millisecond, 3400*time.Microsecond)
	actual := func(n int) time.Duration { return 147*time.Millisecond + time.Duration(n)*4*time.Millisecond }
	for i := range 1000 {
		n := 1 + i%16
		took := actual(n)
		if i%7 == 3 {
			took = took * 5 / 2
		}
		c.Learn(n, took)
	}
	c.Learn(0, time.Second)
	c.Learn(4, -time.Second)
	c.Learn(4, time.Hour)
	for _, n := range []int{1, 8, 16} {
		ratio := float64(c.Expected(n)) / float64(actual(n))
		assert.Assert(t, ratio > 0.98 && ratio < 1.05, "%d pieces: %v", n, ratio)
	}
	for i := range 1000 {
		c.Learn(1+i%16, 3*actual(1+i%16))
	}
	ratio := float64(c.Expected(8)) / float64(3*actual(8))
	assert.Assert(t, math.Abs(ratio-1) < 0.05, "%v", ratio)
}
