package decl

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestIndexedFindMatchesScan(t *testing.T) {
	// Prefixes are nested, and several hosts have the same ones. The index must not find another route than the scan, which
	// takes the longest prefix that matches the path.
	part := rapid.SampledFrom([]string{"a/", "b/", "ab/", "a", "", "/"})
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(label string) string {
			text := "/"
			for _, piece := range rapid.SliceOfN(part, 0, 5).Draw(rt, label) {
				text += piece
			}
			return text
		}
		var plain Routing
		seen := map[string]bool{}
		for i := range rapid.IntRange(0, 12).Draw(rt, "routes") {
			prefix := draw("prefix")
			if prefix[len(prefix)-1] != '/' {
				prefix += "/"
			}
			host := rapid.SampledFrom([]string{"one", "two"}).Draw(rt, "host")
			if !seen[host+prefix] {
				seen[host+prefix] = true
				plain.Routes = append(plain.Routes, Route{Name: fmt.Sprint(i), Host: host, Prefix: prefix})
			}
		}
		indexed := Routing{Routes: plain.Routes}
		indexed.Index()
		host, path := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(rt, "of"), draw("path")
		assert.Equal(rt, indexed.Find(host, path), plain.Find(host, path), "%s %s", host, path)
	})
}

func BenchmarkFind(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		var rt Routing
		for i := range count {
			rt.Routes = append(rt.Routes, Route{Host: "hall.example", Prefix: fmt.Sprintf("/area%d/room%d/", i%97, i)})
		}
		path := rt.Routes[count-1].Prefix + "seat/4"
		b.Run(fmt.Sprint("scan of ", count), func(b *testing.B) {
			for b.Loop() {
				_ = rt.scan("hall.example", path)
			}
		})
		rt.Index()
		b.Run(fmt.Sprint("index of ", count), func(b *testing.B) {
			for b.Loop() {
				_ = rt.Find("hall.example", path)
			}
		})
	}
}
