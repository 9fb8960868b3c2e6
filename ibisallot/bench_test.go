package ibisallot

import "testing"

// BenchmarkTryUse admits and frees single tasks from many goroutines.
func BenchmarkTryUse(b *testing.B) {
	f := newFleet(1)
	l := f.ledgers["i-0"]
	for range 3 {
		l.RecordDemand("team", slots(1000))
		if err := l.Sync(ctx, limits(slots(1000)), f.ids); err != nil {
			b.Fatal(err)
		}
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if l.TryUse("team", slots(1)) {
				l.Free("team", slots(1))
			}
		}
	})
}
