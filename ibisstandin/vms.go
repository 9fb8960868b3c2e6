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

// VMChange is the body of a POST to /vms: entries that are added or replace those of the same name once
// the lag has passed. A lag that is given holds for this change and all later ones.
type VMChange struct {
	VMs   []ibisserver.VM `json:"VMs"`
	LagMS *int64          `json:"LagMS,omitempty"`
	Down  bool            `json:"Down,omitempty"` // the list is refused until a change without it
}

// VMs is a list of VMs that shows changes with a lag. It is an ibisserver.VMList itself.
type VMs struct {
	clk Clock

	mu      sync.Mutex
	shown   []ibisserver.VM
	pending []pendingVM // in order of their time
	lag     time.Duration
	down    bool
}

type pendingVM struct {
	at time.Time
	vm ibisserver.VM
}

var _ ibisserver.VMList = (*VMs)(nil)

// NewVMs makes a list. A nil clk stands for the system's clock.
func NewVMs(vms []ibisserver.VM, clk Clock) *VMs {
	return &VMs{clk: orSystem(clk), shown: slices.Clone(vms)}
}

// Change applies a change.
func (l *VMs) Change(c VMChange) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.LagMS != nil {
		l.lag = time.Duration(*c.LagMS) * time.Millisecond
	}
	l.down = c.Down
	at := l.clk.Now().Add(l.lag)
	for _, vm := range c.VMs {
		l.pending = append(l.pending, pendingVM{at: at, vm: vm})
	}
	slices.SortStableFunc(l.pending, func(a, b pendingVM) int { return a.at.Compare(b.at) })
}

// VMs is the list as it shows now.
func (l *VMs) VMs(context.Context) ([]ibisserver.VM, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, ibisserver.Unreachable.New("the list is down")
	}
	now := l.clk.Now()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.show(l.pending[0].vm)
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.shown), nil
}

func (l *VMs) show(vm ibisserver.VM) {
	i := slices.IndexFunc(l.shown, func(o ibisserver.VM) bool { return o.Name == vm.Name })
	if i < 0 {
		l.shown = append(l.shown, vm)
		return
	}
	l.shown[i] = vm
}

// ServeHTTP serves the list and its changes.
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
