package ibisharness

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
	"ibiscrank/ibisstandin"
	"ibiscrank/ibiswork"
)

// silencePeriod is how long a silenced connection must deliver no data.
const silencePeriod = 200 * time.Millisecond

// echoServer starts a server that returns all data it receives.
func echoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer closeIgnoringError(conn)
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	return l.Addr().String()
}

// dial opens a connection and checks that it echoes.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { closeIgnoringError(conn) })
	assert.NilError(t, echo(conn, 5*time.Second))
	return conn
}

// echo sends a line and waits until it is returned.
func echo(conn net.Conn, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("line\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// TestLink guards against faults that act on the wrong connections, such as a silence that closes them or
// that also hits new ones.
func TestLink(t *testing.T) {
	l := newLink(t, "link", "", echoServer(t))
	old := dial(t, l.Address())

	l.Silence()
	assert.Assert(t, isTimeout(echo(old, silencePeriod)), "an open connection must be silenced, not closed")
	fresh := dial(t, l.Address())

	l.SilenceAll()
	assert.Assert(t, isTimeout(echo(fresh, silencePeriod)))
	later, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	defer closeIgnoringError(later)
	assert.Assert(t, isTimeout(echo(later, silencePeriod)))

	l.Restore()
	assert.Assert(t, isTimeout(echo(later, silencePeriod)), "a silenced connection must stay silent after Restore")
	reopened := dial(t, l.Address())

	l.Cut()
	err = echo(reopened, 5*time.Second)
	assert.Assert(t, err != nil && !isTimeout(err), "a cut connection must be closed: %v", err)
	if refused, err := net.Dial("tcp", l.Address()); err == nil {
		assert.Assert(t, echo(refused, 5*time.Second) != nil)
		closeIgnoringError(refused)
	}

	l.Restore()
	slow := dial(t, l.Address())
	l.Delay(150)
	started := time.Now()
	assert.NilError(t, echo(slow, 5*time.Second))
	assert.Assert(t, time.Since(started) >= 300*time.Millisecond)
	l.Restore()
	assert.NilError(t, echo(slow, 5*time.Second))
}

// TestPlatform checks that the control calls of the platform succeed, and that the start of a task and its
// loss with the VM are recorded.
func TestPlatform(t *testing.T) {
	opt := Options{Servers: 2}.withDefaults()
	p := startPlatform(t, buildPrograms(t), t.TempDir(), opt)
	assert.Equal(t, len(p.Servers), 2)
	s, closeClient := ibisserver.NewClient(p.Servers[1].Address)
	defer closeClient()
	claim, err := s.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 1, Owner: "o"})
	assert.NilError(t, err)
	assert.Equal(t, claim.Capacity, p.Capacity)
	id := ibisserver.TaskID{Request: ibiswork.NewID(), Attempt: 1}
	_, err = s.Start(t.Context(), ibisserver.StartRequest{
		Epoch: 1, Task: ibisserver.Task{ID: id, Class: ibiswork.Service}, StartBy: claim.Clock + 10_000, LeaseEnd: claim.Clock + 60_000,
	})
	assert.NilError(t, err)
	assert.Equal(t, p.Running(), 1)
	p.LoseVM(p.Servers[1].Name)
	h := p.History()
	assert.Equal(t, len(h), 2)
	assert.Equal(t, h[1].State, ibisstandin.Lost)
	p.StartVM(p.Servers[1].Name)

	p.TableFaults(ibisstandin.TableFaults{Down: true})
	p.TableFaults(ibisstandin.TableFaults{})
	p.SetVMState(p.Servers[0].Name, ibisserver.Leaving)
	assert.Equal(t, p.TableStats().Writes, int64(0))
}
