package dispatch

import (
	"fmt"
	"testing"
)

// BenchmarkPlan is the decision alone, without booking it. Before the choices kept their
// slices and sums, a long prompt took 38 us and 55 allocations at 18 upstreams, and 5.2 ms
// and 70 allocations at 1,200, booking included.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 112, 1200} {
		for name, request := range map[string]*Request{"short": short(), "heavy": heavy(180_000)} {
			b.Run(fmt.Sprintf("%d/%s", n, name), func(b *testing.B) {
				f := newFleet(n, Predicted)
				for range 3 * n {
					f.Choose(start, short(), spec)
				}
				f.plan(start, request, spec)
				b.ReportAllocs()
				for b.Loop() {
					f.plan(start, request, spec)
				}
			})
		}
	}
}
