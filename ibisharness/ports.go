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
// daemon while it is down. They are divided into ranges, and a test process has each range that it uses to itself: the
// port of a daemon that is being restarted must not be taken by another process.
const (
	firstPort     = 22000
	portRanges    = 50
	portsPerRange = 200
)

// portRange is a range of ports that no other test process uses.
type portRange struct {
	first int
	next  int
	lock  net.Listener // holds the first port, which makes the range this process's own
}

var ports struct {
	sync.Mutex
	current *portRange
	held    []*portRange // ranges that are used up; their daemons may still be restarted
}

// acquireRange finds a range that no process has. Start says where the search begins.
func acquireRange(start int) (*portRange, error) {
	for n := range portRanges {
		first := firstPort + (start+n)%portRanges*portsPerRange
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &portRange{first: first, next: first + 1, lock: l}, nil
		}
	}
	return nil, fmt.Errorf("all %d ranges of ports from %d are in use", portRanges, firstPort)
}

// release makes the range available to other processes.
func (r *portRange) release() error { return r.lock.Close() }

// take returns a free loopback address of the range; ok is false when the range is used up.
func (r *portRange) take() (address string, ok bool) {
	for r.next < r.first+portsPerRange {
		address := fmt.Sprintf("127.0.0.1:%d", r.next)
		r.next++
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address, true
		}
	}
	return "", false
}

// freeAddress returns a loopback address with a free port. Each call returns a different one, in all test processes.
func freeAddress(t testing.TB) string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	for {
		if ports.current == nil {
			r, err := acquireRange(os.Getpid())
			assert.NilError(t, err)
			ports.current = r
		}
		if address, ok := ports.current.take(); ok {
			return address
		}
		ports.held, ports.current = append(ports.held, ports.current), nil
	}
}
