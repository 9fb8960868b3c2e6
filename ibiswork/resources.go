package ibiswork

// Resources is an amount of each kind of capacity.
type Resources struct {
	MilliCPU     int64 `json:"MilliCPU,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"MemoryMB,omitempty"` // MiB
	Accelerators int64 `json:"Accelerators,omitempty"`
	Slots        int64 `json:"Slots,omitempty"` // tasks that a backend server runs at once
}

// Check reports an amount below zero.
func (r Resources) Check() error {
	if r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || r.Slots < 0 {
		return Error.New("amounts below zero: %+v", r)
	}
	return nil
}

// Add is the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Sub is the difference of r and o, which may be below zero.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Times is n times r.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n, r.Slots * n}
}

// FitsIn reports whether no amount of r is above that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators && r.Slots <= o.Slots
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Max takes the larger of each amount.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators), max(r.Slots, o.Slots)}
}

// Min takes the smaller of each amount.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators), min(r.Slots, o.Slots)}
}

// Dominant is the largest fraction that r takes of any amount in total.
func (r Resources) Dominant(total Resources) float64 {
	share := 0.0
	for _, f := range [...][2]int64{
		{r.MilliCPU, total.MilliCPU},
		{r.MemoryMB, total.MemoryMB},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if f[1] > 0 {
			share = max(share, float64(f[0])/float64(f[1]))
		}
	}
	return share
}
