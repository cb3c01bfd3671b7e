package pack

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// routes returns a configuration of many routes whose names look random, as large ones are.
func routes(n, changed int) []byte {
	var b strings.Builder
	for i := range n {
		timeout := 2000
		if i < changed {
			timeout = 2500
		}
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"h%x.example","prefix":"/%x/","kind":"safe","timeout_ms":%d,"split":[{"service":"desk","weight":1}]},`,
			(i*2654435761)%0xfffffff, i*40503%0xffff, i*2246822519%0xffffff, timeout)
	}
	return []byte(b.String())
}

// Guards against whole configurations on the way for each small change: "1,400 routes, one of them changed".
func TestAChangeOfALargeDocumentIsSmall(t *testing.T) {
	before, after := routes(1400, 0), routes(1400, 1)
	alone, against := Compress(after, nil), Compress(after, before)
	assert.Assert(t, len(alone) < len(after)/4, "%d of %d bytes", len(alone), len(after))
	assert.Assert(t, len(against) < len(after)/100, "%d of %d bytes", len(against), len(after))
	got, err := Expand(against, before, MostBytes)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(after))
	got, err = Expand(alone, nil, MostBytes)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(after))
}

// Guards against a process that goes down, or takes all memory, by what it is sent.
func TestDamagedInputIsAnError(t *testing.T) {
	packed := Compress(routes(100, 0), nil)
	for i := range packed {
		damaged := append([]byte(nil), packed...)
		damaged[i] ^= 0x55
		_, _ = Expand(damaged, nil, MostBytes) // an error or a wrong document, which a checksum of the caller finds
	}
	_, err := Expand(packed[:len(packed)/2], nil, MostBytes)
	assert.Assert(t, err != nil)
	_, err = Expand(Compress(make([]byte, 1<<20), nil), nil, 1<<16)
	assert.Assert(t, err != nil, "longer than allowed")
	_, err = Expand(Compress(routes(100, 1), routes(100, 0)), nil, MostBytes)
	assert.Assert(t, err != nil, "the earlier document is missing")
}

// Guards against a difference that does not lead to its target, for bodies with moved, repeated and changed parts.
func TestPackedDocumentLeadsToTarget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 100), 1, 8).Draw(rt, "parts")
		pick := func(name string) []byte {
			var out []byte
			for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(parts)-1), 0, 12).Draw(rt, name) {
				out = append(out, parts[i]...)
			}
			return out
		}
		base, target := pick("base"), pick("target")
		got, err := Expand(Compress(target, base), base, MostBytes)
		if err != nil || !bytes.Equal(got, target) {
			rt.Fatalf("got %x, %v; want %x", got, err, target)
		}
	})
}

// Guards against a difference from the network that makes the node fail or fill its memory.
func TestExpandRefusesNonsense(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		out, err := Expand(rapid.SliceOf(rapid.Byte()).Draw(rt, "packed"), []byte("some base"), 16<<20)
		if err == nil && len(out) > 16<<20 {
			rt.Fatalf("%d bytes", len(out))
		}
	})
}

// Guards against the cost of a change to one of 2,300 teams growing with the configuration.
func TestChangeOfOneTeamIsSmall(t *testing.T) {
	var a, b bytes.Buffer
	for i := range 2300 {
		fmt.Fprintf(&a, `{"name":"team-%04d","weight":%d,"max_per_second":20}`, i, i%7)
		w := i % 7
		if i == 1200 {
			w = 99
		}
		fmt.Fprintf(&b, `{"name":"team-%04d","weight":%d,"max_per_second":20}`, i, w)
	}
	d := Compress(b.Bytes(), a.Bytes())
	assert.Assert(t, len(d) < 100, "%d bytes", len(d))
}

func FuzzExpand(f *testing.F) {
	f.Add(Compress([]byte("abc"), nil), []byte{})
	f.Add(Compress([]byte("abcd"), []byte("abc")), []byte("abc"))
	f.Fuzz(func(t *testing.T, packed, earlier []byte) {
		out, err := Expand(packed, earlier, 1<<20)
		if err == nil && len(out) > 1<<20 {
			t.Fatalf("%d bytes", len(out))
		}
	})
}
