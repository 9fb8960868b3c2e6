// Package ibiscapacity measures the resource use of daemons as the system grows. It starts daemons, a
// simulated table service and simulated backend servers as processes on loopback at several sizes, measures
// processor time, memory, network bytes, RPC calls, and reads and writes of the table, and fits a line
// through each. It reads /proc and so needs Linux. Command ibiscapacity runs it.
//
// Usage:
//
//	r := ibiscapacity.Runner{Bin: "bin", Out: os.Stdout}
//	err := r.Run(ctx, "servers")
package ibiscapacity

import "math"

// Point is one measured value Y at the size X.
type Point struct {
	X float64 `json:"X"`
	Y float64 `json:"Y"`
}

// Line is a least-squares line through some points.
type Line struct {
	Slope     float64 `json:"Slope"`
	Intercept float64 `json:"Intercept"`
	R2        float64 `json:"R2"`       // coefficient of determination, 0 to 1
	Residual  float64 `json:"Residual"` // largest distance of a point from the line, in the unit of Y
}

// Fit returns the least-squares line. With fewer than two different X the slope is zero.
func Fit(points []Point) Line {
	if len(points) == 0 {
		return Line{}
	}
	n := float64(len(points))
	var mx, my float64
	for _, p := range points {
		mx, my = mx+p.X/n, my+p.Y/n
	}
	var sxx, sxy, syy float64
	for _, p := range points {
		sxx += (p.X - mx) * (p.X - mx)
		sxy += (p.X - mx) * (p.Y - my)
		syy += (p.Y - my) * (p.Y - my)
	}
	l := Line{Intercept: my, R2: 1}
	if sxx > 0 {
		l.Slope = sxy / sxx
		l.Intercept = my - l.Slope*mx
	}
	var sum float64
	for _, p := range points {
		e := p.Y - l.At(p.X)
		sum += e * e
		l.Residual = math.Max(l.Residual, math.Abs(e))
	}
	if syy > 0 {
		l.R2 = 1 - sum/syy
	}
	return l
}

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }
