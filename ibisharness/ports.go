package ibisharness

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// The ports of daemons are below the ephemeral port range, so that no outgoing connection takes the port of a
// daemon while it is down. A test process starts its search at an offset that depends on its process ID.
const (
	firstPort   = 22000
	portCount   = 10000
	portsPerPID = 500
)

var ports struct {
	sync.Mutex
	next int
}

// freeAddress returns a loopback address with a free port. Each call in a process returns a different one.
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
	assert.Assert(t, false, "no free loopback port, searched from %d", firstPort)
	return ""
}
