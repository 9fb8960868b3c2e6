package ibisharness

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// CrowdTime is how long a client of a crowd goes on, and after which a blocked read or write of it is given up.
const CrowdTime = 3 * time.Second

const (
	crowdPause   = 100 * time.Millisecond // before a client that was cut off comes back
	crowdConnect = 10 * time.Second       // for a crowd to be connected
)

// crowdHold is how long the connections of a crowd stay open after all of its clients have acted, so that the other end
// reads what has been sent.
const crowdHold = time.Second

// fdInterval is the time between two counts of a process's descriptors.
const fdInterval = 20 * time.Millisecond

// Usage observes the memory and the descriptors of a process.
type Usage struct {
	t   testing.TB
	pid int
	fds atomic.Int64
}

// ObserveUsage lets the kernel limit the descriptors of a process to maxFDs, and counts them until the test ends.
func ObserveUsage(t testing.TB, pid, maxFDs int) *Usage {
	t.Helper()
	limit := unix.Rlimit{Cur: uint64(maxFDs), Max: uint64(maxFDs)}
	assert.NilError(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &limit, nil))
	u := &Usage{t: t, pid: pid}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		for sleep(ctx, fdInterval) {
			files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
			if err == nil {
				u.fds.Store(max(u.fds.Load(), int64(len(files))))
			}
		}
	})
	t.Cleanup(func() { cancel(); wg.Wait() })
	return u
}

// PeakFDs returns the largest number of descriptors that was counted.
func (u *Usage) PeakFDs() int { return int(u.fds.Load()) }

var peakMemoryLine = regexp.MustCompile(`VmHWM:\s*(\d+) kB`)

// PeakMemoryMB returns the largest resident memory of the process since its start, in MiB; 0 if it has exited.
func (u *Usage) PeakMemoryMB() int {
	u.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0
	}
	m := peakMemoryLine.FindSubmatch(b)
	if m == nil {
		return 0
	}
	kb, err := strconv.Atoi(string(m[1]))
	assert.NilError(u.t, err)
	return kb >> 10
}

// Check fails the test if the process has used more than maxMB MiB of memory or maxFDs descriptors.
func (u *Usage) Check(maxMB, maxFDs int) {
	u.t.Helper()
	mb, fds := u.PeakMemoryMB(), u.PeakFDs()
	u.t.Logf("at the peak: %d MB resident, %d descriptors", mb, fds)
	assert.Check(u.t, mb > 0, "the process has exited")
	assert.Check(u.t, mb <= maxMB, "%d MB resident at the peak, limit %d MB", mb, maxMB)
	assert.Check(u.t, fds <= maxFDs, "%d descriptors at the peak, limit %d", fds, maxFDs)
}

// Crowd connects n clients to address and lets each act. Their connections stay open until crowdHold after all have
// acted; a read or write ends CrowdTime after the connection was opened.
func Crowd(address string, n int, act func(c net.Conn, n int)) {
	var acting, open sync.WaitGroup
	acting.Add(n)
	for k := range n {
		open.Go(func() {
			c, err := net.DialTimeout("tcp", address, CrowdTime)
			if err != nil {
				acting.Done()
				return // refused
			}
			defer func() { _ = c.Close() }() // what it has sent doesn't matter any more
			defer time.Sleep(crowdHold)
			defer acting.Wait()
			defer acting.Done()
			_ = c.SetDeadline(time.Now().Add(CrowdTime)) // fails on a closed connection, as act does
			act(c, k)
		})
	}
	open.Wait()
}

// Send writes text, then at least n bytes in chunks, until the other end refuses to read on.
func Send(c net.Conn, text string, chunk []byte, n int) {
	_, err := io.WriteString(c, text)
	for sent := 0; err == nil && sent < n; sent += len(chunk) {
		_, err = c.Write(chunk)
	}
}

// SlowCrowd starts n clients that connect to address, send a request a byte at a time, half of them only its body, and come back
// when they are cut off, until ctx ends. It returns when n have been connected and a second has passed; wait waits for their end.
func SlowCrowd(ctx context.Context, t testing.TB, address string, n int, head func(n int) string, body string) (wait func()) {
	t.Helper()
	var wg sync.WaitGroup
	var connected atomic.Int64
	for k := range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				c, err := net.DialTimeout("tcp", address, CrowdTime)
				if err == nil {
					connected.Add(1)
					text := head(k)
					if k%2 == 0 {
						Send(c, text, nil, 0)
						text = body
					}
					SendSlowly(ctx, c, text)
				}
				time.Sleep(crowdPause)
			}
		})
	}
	Eventually(t, crowdConnect, "the crowd is connected", func() bool { return connected.Load() >= int64(n) })
	time.Sleep(time.Second)
	return wg.Wait
}

// SendSlowly writes text a byte at a time until the other end closes c or ctx ends. It closes c.
func SendSlowly(ctx context.Context, c net.Conn, text string) {
	defer func() { _ = c.Close() }() // an error means that the other end was first
	for k := 0; ctx.Err() == nil && k < len(text); k++ {
		if _, err := io.WriteString(c, text[k:k+1]); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err == nil || err == io.EOF {
			return
		}
	}
}
