package ibisserver

import "context"

// VM is one entry of the platform's list of VMs, which lags behind the actual state.
type VM struct {
	Name          string  `json:"Name"`
	Address       string  `json:"Address"` // IP address and port of its backend server
	FailureDomain string  `json:"FailureDomain"`
	Rack          string  `json:"Rack"`
	State         VMState `json:"State"`
}

// VMState is the state of a VM in the list.
type VMState string

// The states of a VM. A VM that is Leaving gets no new work. A VM that is Gone has stopped permanently, with all
// its tasks.
const (
	Live    VMState = "Live"
	Leaving VMState = "Leaving"
	Gone    VMState = "Gone"
)

// VMList reads the platform's list of VMs.
type VMList interface {
	VMs(ctx context.Context) ([]VM, error)
}
