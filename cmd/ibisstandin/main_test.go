package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
	"ibiscrank/ibistable"
)

// asProgramEnv is the environment variable that makes the test binary run as the program itself.
const asProgramEnv = "IBISSTANDIN_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func TestCommandsServeUntilTerminated(t *testing.T) {
	for _, tc := range []struct {
		args    string
		table   bool
		servers int
	}{
		{"table --listen 127.0.0.1:0", true, 0},
		{"servers --listen-base 127.0.0.1:0 --vm-list 127.0.0.1:0 --count 3", false, 3},
		{"all --table 127.0.0.1:0 --listen-base 127.0.0.1:0 --vm-list 127.0.0.1:0 --count 300", true, 300},
	} {
		t.Run(tc.args, func(t *testing.T) {
			cmd := exec.CommandContext(t.Context(), os.Args[0], strings.Fields(tc.args)...)
			cmd.Env = append(os.Environ(), asProgramEnv+"=1")
			cmd.Stderr = os.Stderr
			out, err := cmd.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, cmd.Start())
			var a addresses
			assert.NilError(t, json.NewDecoder(out).Decode(&a))
			assert.Equal(t, len(a.Servers), tc.servers)
			if tc.table {
				_, err := ibistable.NewClient(a.Table, nil).Get(t.Context(), "a")
				assert.Assert(t, ibistable.NotFound.Has(err), "%v", err)
			}
			if tc.servers > 0 {
				checkServers(t, a)
			}
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
			assert.NilError(t, cmd.Wait())
		})
	}
}

func checkServers(t *testing.T, a addresses) {
	list, stopList := ibisserver.NewVMClient(a.VMList)
	defer stopList()
	vms, err := list.VMs(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, vms, a.Servers)
	c, stop := ibisserver.NewClient(vms[len(vms)-1].Address)
	defer stop()
	r, err := c.Claim(t.Context(), ibisserver.ClaimRequest{Epoch: 1, Owner: "i-1"})
	assert.NilError(t, err)
	assert.Equal(t, r.Capacity.MilliCPU, int64(16000))
}

func TestBadArgumentsAreReported(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), os.Args[0], "table", "--listen", "127.0.0.1:0", "--nonsense")
	cmd.Env = append(os.Environ(), asProgramEnv+"=1")
	assert.Assert(t, cmd.Run() != nil)
	cmd = exec.CommandContext(t.Context(), os.Args[0], "table", "--listen", "256.0.0.1:1")
	cmd.Env = append(os.Environ(), asProgramEnv+"=1")
	assert.Assert(t, cmd.Run() != nil)
}
