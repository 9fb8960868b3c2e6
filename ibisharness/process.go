package ibisharness

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// exitTimeout is the maximum time that await waits for a process to exit.
	exitTimeout = 45 * time.Second
	// maxShownLogBytes is how much of the end of a log is printed when its test fails.
	maxShownLogBytes = 6000
)

// buildOnce builds the programs of this module into its directory bin, and returns that directory.
var buildOnce = sync.OnceValues(func() (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", Error.Wrap(err)
	}
	dir := filepath.Join(string(bytes.TrimSpace(root)), "bin")
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Dir(dir)
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", Error.New("go build ./cmd/...: %v: %s", err, out)
	}
	return dir, nil
})

// buildPrograms builds the programs of this module once per test process and returns their directory.
func buildPrograms(t testing.TB) string {
	t.Helper()
	dir, err := buildOnce()
	assert.NilError(t, err)
	return dir
}

// process is a program started by a test. A nil process is not running.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed once the process has exited
	err  error         // from Wait; read only after done is closed
}

// startProcess starts a program and appends its standard error and standard output to logFile. If
// readFirstLine is set, standard output is not logged; its first line is read and returned.
func startProcess(t testing.TB, name, logFile string, readFirstLine bool, program string, args ...string) (*process, string) {
	t.Helper()
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(t, err)
	defer f.Close()
	p := &process{t: t, name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = f, f
	p.cmd.SysProcAttr = killWithParent()
	var stdout io.ReadCloser
	if readFirstLine {
		p.cmd.Stdout = nil
		stdout, err = p.cmd.StdoutPipe()
		assert.NilError(t, err)
	}
	assert.NilError(t, p.cmd.Start())
	line := ""
	if readFirstLine {
		line, err = bufio.NewReader(stdout).ReadString('\n')
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	assert.NilError(t, err, "%s did not print a first line", name)
	return p, line
}

// running reports whether the process has not exited yet.
func (p *process) running() bool {
	if p == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends sig if the process is still running.
func (p *process) signal(sig syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(sig) // the process may have exited in the meantime
	}
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// await waits until the process has exited and returns the error of its exit status, or an error after
// exitTimeout.
func (p *process) await() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(exitTimeout):
		return Error.New("%s did not exit within %v", p.name, exitTimeout)
	}
}

// showLogOnFailure prints the end of a log if the test has failed.
func showLogOnFailure(t testing.TB, name, path string) {
	if !t.Failed() {
		return
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if len(b) > maxShownLogBytes {
		b = b[len(b)-maxShownLogBytes:]
	}
	t.Logf("end of the log of %s:\n%s", name, b)
}
