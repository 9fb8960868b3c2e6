package ibisserver

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"ibiscrank/ibishttp"
)

// maxVMListConns bounds the connections to the VM list.
const maxVMListConns = 2

// VMsReply is the body of the response to PathVMs.
type VMsReply struct {
	VMs []VM `json:"VMs"`
}

// VMClient reads the platform's list of VMs over HTTP with JSON.
type VMClient struct {
	base string
	http *http.Client
}

var _ VMList = (*VMClient)(nil)

// NewVMClient returns a client of the list at the base URL, for example "http://127.0.0.1:20001". The clean-up
// closes its idle connections.
func NewVMClient(base string) (*VMClient, func()) {
	h := &http.Client{Transport: ibishttp.NewTransport(maxVMListConns)}
	return &VMClient{base: strings.TrimSuffix(base, "/"), http: h}, h.CloseIdleConnections
}

// VMs reads the whole list. Any error is of class Unreachable: the call has no effect that could be unknown.
func (c *VMClient) VMs(ctx context.Context) ([]VM, error) {
	r, err := ibishttp.Call(ctx, c.http, http.MethodGet, c.base+PathVMs, nil)
	if err != nil {
		return nil, Unreachable.Wrap(err)
	}
	if r.Status != http.StatusOK {
		return nil, Unreachable.New("VM list: HTTP status %d", r.Status)
	}
	var reply VMsReply
	if err := json.Unmarshal(r.Body, &reply); err != nil {
		return nil, Unreachable.Wrap(err)
	}
	return reply.VMs, nil
}
