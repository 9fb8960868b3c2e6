package ibiswork

// Resources is an amount of each kind of resource.
type Resources struct {
	MilliCPU     int64 `json:"MilliCPU,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"MemoryMB,omitempty"` // MiB
	Accelerators int64 `json:"Accelerators,omitempty"`
	Slots        int64 `json:"Slots,omitempty"` // tasks that a backend server runs at once
}

// Check returns an error if an amount is negative.
func (r Resources) Check() error {
	if r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0 || r.Slots < 0 {
		return Error.New("negative amount in %+v", r)
	}
	return nil
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators, r.Slots + o.Slots}
}

// Sub returns r - o, whose amounts may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators, r.Slots - o.Slots}
}

// Times returns r multiplied by n.
func (r Resources) Times(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n, r.Slots * n}
}

// FitsIn reports whether no amount of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators && r.Slots <= o.Slots
}

// IsZero reports whether every amount is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// Max returns the larger of r and o for each amount.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators), max(r.Slots, o.Slots)}
}

// Min returns the smaller of r and o for each amount.
func (r Resources) Min(o Resources) Resources {
	return Resources{min(r.MilliCPU, o.MilliCPU), min(r.MemoryMB, o.MemoryMB), min(r.Accelerators, o.Accelerators), min(r.Slots, o.Slots)}
}

// Dominant returns the dominant share of r in total: the largest of the fractions of each resource. A resource
// of which total has none does not count.
func (r Resources) Dominant(total Resources) float64 {
	share := 0.0
	for _, pair := range [...][2]int64{
		{r.MilliCPU, total.MilliCPU},
		{r.MemoryMB, total.MemoryMB},
		{r.Accelerators, total.Accelerators},
		{r.Slots, total.Slots},
	} {
		if pair[1] > 0 {
			share = max(share, float64(pair[0])/float64(pair[1]))
		}
	}
	return share
}
