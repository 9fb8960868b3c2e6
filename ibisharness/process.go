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
	// endWithin bounds the end of a process that was told to end.
	endWithin = 45 * time.Second
	// shownLogBytes is how much of the end of a log is shown when its test fails.
	shownLogBytes = 6000
)

var buildOnce = sync.OnceValues(func() (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", Error.Wrap(err)
	}
	dir := filepath.Join(string(bytes.TrimSpace(root)), "bin")
	cmd := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/...")
	cmd.Dir = filepath.Dir(dir)
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", Error.New("%v: %s", err, out)
	}
	return dir, nil
})

// binaries builds the programs of this module once and returns their directory.
func binaries(t testing.TB) string {
	t.Helper()
	dir, err := buildOnce()
	assert.NilError(t, err)
	return dir
}

// process is one program that was started by a test.
type process struct {
	t    testing.TB
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
	err  error         // how it ended; read after done
}

// start runs a program with its standard error, and standard output unless first is set, in logFile.
// With first it returns the first line of standard output.
func start(t testing.TB, name, logFile string, first bool, program string, args ...string) (*process, string) {
	t.Helper()
	f, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(t, err)
	defer f.Close()
	p := &process{t: t, name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Stderr, p.cmd.Stdout = f, f
	p.cmd.SysProcAttr = endWithParent()
	var out io.ReadCloser
	if first {
		p.cmd.Stdout = nil
		out, err = p.cmd.StdoutPipe()
		assert.NilError(t, err)
	}
	assert.NilError(t, p.cmd.Start())
	line := ""
	if first {
		line, err = bufio.NewReader(out).ReadString('\n')
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	assert.NilError(t, err, "%s printed no line", name)
	return p, line
}

// running reports whether the process has not ended.
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

// signal sends sig if the process still runs.
func (p *process) signal(sig syscall.Signal) {
	if p.running() {
		_ = p.cmd.Process.Signal(sig) // it may have ended meanwhile
	}
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	if p == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.done
}

// await waits for the end of the process and returns how it ended.
func (p *process) await() error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(endWithin):
		return Error.New("%s did not end within %v", p.name, endWithin)
	}
}

// showLog prints the end of a log when the test has failed.
func showLog(t testing.TB, name, path string) {
	if !t.Failed() {
		return
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return
	}
	if len(b) > shownLogBytes {
		b = b[len(b)-shownLogBytes:]
	}
	t.Logf("end of the log of %s:\n%s", name, b)
}
