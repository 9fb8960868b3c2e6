package ibisjournal

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

// BenchmarkAppend measures appending and forgetting records of 500 bytes from many goroutines at the default
// interval.
func BenchmarkAppend(b *testing.B) {
	table := ibistablefake.New()
	inc, err := ibisincarnation.Register(context.Background(), table, ibisincarnation.Row{ID: "i-1"})
	if err != nil {
		b.Fatal(err)
	}
	j, stop := Open(table, inc.Fence(), inc.ID())
	defer stop()
	body := make([]byte, 500)
	var n atomic.Int64
	b.SetParallelism(100)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := ibiswork.ID(fmt.Sprintf("r-%d", n.Add(1)))
			for _, body := range [][]byte{body, nil} {
				if err := j.Append(context.Background(), Record{Request: id, Body: body}); err != nil {
					b.Error(err)
				}
			}
		}
	})
	s := j.Stats()
	b.ReportMetric(float64(s.Writes)/b.Elapsed().Seconds(), "writes/s")
	b.ReportMetric(float64(s.Records)/b.Elapsed().Seconds(), "records/s")
	b.ReportMetric(float64(s.Rows), "rows")
}
