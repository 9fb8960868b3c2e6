package ibisharness

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// Ports of daemons lie below the range from which outgoing connections take theirs, so that the port of
// a daemon that is down stays free for its restart.
const (
	firstPort   = 22000
	portCount   = 10000
	portsPerPID = 500
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddress is a loopback address that nothing listens at and that no other call returns.
func freeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for range portCount {
		port := firstPort + (os.Getpid()*portsPerPID+ports.next)%portCount
		ports.next++
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
	}
	assert.Assert(t, false, "no free port")
	return ""
}
