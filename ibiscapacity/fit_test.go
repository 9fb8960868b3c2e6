package ibiscapacity

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		points []Point
		want   Line
	}{
		{"none", nil, Line{}},
		{"one size", []Point{{2, 3}, {2, 5}}, Line{Intercept: 4, Residual: 1}},
		{"exact", []Point{{1, 3}, {2, 5}, {4, 9}}, Line{Slope: 2, Intercept: 1, R2: 1}},
		{"flat", []Point{{1, 7}, {2, 7}, {3, 7}}, Line{Intercept: 7, R2: 1}},
		{"scattered", []Point{{0, 0}, {1, 2}, {2, 1}}, Line{Slope: 0.5, Intercept: 0.5, R2: 0.25, Residual: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Fit(tc.points)
			for _, pair := range [][2]float64{
				{got.Slope, tc.want.Slope}, {got.Intercept, tc.want.Intercept}, {got.R2, tc.want.R2}, {got.Residual, tc.want.Residual},
			} {
				assert.Assert(t, math.Abs(pair[0]-pair[1]) < 1e-9, "%+v, want %+v", got, tc.want)
			}
		})
	}
}

func TestParseStat(t *testing.T) {
	const stat = "77 (a name) x) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0"
	got, err := parseStat(stat)
	assert.NilError(t, err)
	assert.Equal(t, got, 2.0)
	_, err = parseStat("77 (short) S 1")
	assert.ErrorContains(t, err, "stat")
}

func TestRates(t *testing.T) {
	a := sample{wallSeconds: 10, cpuSeconds: 1, tableReads: 100, tableWrites: 10, counters: map[string]float64{"RpcOutHeartbeatCalls": 4}}
	b := sample{wallSeconds: 12, cpuSeconds: 1.4, tableReads: 140, tableWrites: 14, memoryBytes: 3 << 20, counters: map[string]float64{"RpcOutHeartbeatCalls": 8, "TableBytesIn": 4000}}
	r := rates(a, b, 2)
	assert.Assert(t, math.Abs(r["Processor, % of a core a daemon"]-10) < 1e-9, "%v", r)
	assert.Equal(t, r["Memory, MB a daemon"], 1.5)
	assert.Equal(t, r["Table reads/s, all daemons"], 20.0)
	assert.Equal(t, r["Table writes/s, all daemons"], 2.0)
	assert.Equal(t, r["Heartbeat calls/s a daemon"], 1.0)
	assert.Equal(t, r["Table bytes/s a daemon"], 1000.0)
}
