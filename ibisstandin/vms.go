package ibisstandin

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"ibiscrank/ibishttp"
	"ibiscrank/ibisserver"
)

// VMChange is the body of a POST to /vms. Once the lag has passed, its VMs are added to the list or replace those of
// the same name. LagMS, if given, applies to this change and all later ones.
type VMChange struct {
	VMs   []ibisserver.VM `json:"VMs"`
	LagMS *int64          `json:"LagMS,omitempty"`
	Down  bool            `json:"Down,omitempty"` // reads are refused until a change without Down
}

// VMs simulates the platform's VM list, which shows changes with a lag. It implements ibisserver.VMList and is safe for
// use by several goroutines.
type VMs struct {
	clk Clock

	mu      sync.Mutex
	visible []ibisserver.VM
	pending []pendingVM // in the order in which they become visible
	lag     time.Duration
	down    bool
}

type pendingVM struct {
	visibleAt time.Time
	vm        ibisserver.VM
}

var _ ibisserver.VMList = (*VMs)(nil)

// NewVMs creates a list that shows vms. A nil clk means the system clock.
func NewVMs(vms []ibisserver.VM, clk Clock) *VMs {
	return &VMs{clk: clockOrSystem(clk), visible: slices.Clone(vms)}
}

// Change applies a change. Its VMs become visible after the lag, Down at once.
func (l *VMs) Change(c VMChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.LagMS != nil {
		l.lag = time.Duration(*c.LagMS) * time.Millisecond
	}
	l.down = c.Down
	visibleAt := l.clk.Now().Add(l.lag)
	for _, vm := range c.VMs {
		l.pending = append(l.pending, pendingVM{visibleAt: visibleAt, vm: vm})
	}
	slices.SortStableFunc(l.pending, func(a, b pendingVM) int { return a.visibleAt.Compare(b.visibleAt) })
}

// VMs returns the VMs that are visible now. It fails with ibisserver.Unreachable while the list is down.
func (l *VMs) VMs(context.Context) ([]ibisserver.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, ibisserver.Unreachable.New("the VM list is down")
	}
	now := l.clk.Now()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.upsert(l.pending[0].vm)
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.visible), nil
}

// upsert adds vm to the visible list or replaces the one with the same name.
func (l *VMs) upsert(vm ibisserver.VM) {
	i := slices.IndexFunc(l.visible, func(o ibisserver.VM) bool { return o.Name == vm.Name })
	if i < 0 {
		l.visible = append(l.visible, vm)
		return
	}
	l.visible[i] = vm
}

// ServeHTTP serves the list. POST applies a VMChange first.
func (l *VMs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		var c VMChange
		if err := ibishttp.ReadJSON(w, r, &c); err != nil {
			badRequest(w, err)
			return
		}
		l.Change(c)
	}
	vms, err := l.VMs(r.Context())
	if err != nil && r.Method != http.MethodPost {
		ibishttp.WriteJSON(w, http.StatusServiceUnavailable, errorReply{Error: err.Error()})
		return
	}
	ibishttp.WriteJSON(w, http.StatusOK, ibisserver.VMsReply{VMs: vms})
}
