package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCheck(t *testing.T) {
	const good = `{"Listen":"127.0.0.1:1","PeerListen":"127.0.0.1:2","FailureDomain":"ub-1","Table":"http://127.0.0.1:3","VMList":"http://127.0.0.1:4"}`
	const platformGood = `nodeName: n
ip: 10.0.0.1
listenAddrs: {frontend: "10.0.0.1:1", readiness: "10.0.0.1:2"}
internalPorts: [3, 4]
platform: {address: "10.0.0.2:5"}
`
	for _, tc := range []struct {
		name, file, want string
		err              error
	}{
		{"Good", good, "ok\n", nil},
		{"Bad", strings.Replace(good, `"ub-1"`, `""`, 1), "$.FailureDomain: is missing\n", errSettings},
		{"Platform", platformGood, "ok\n", nil},
		{
			"PlatformBad", strings.NewReplacer("nodeName: n", "", "[3, 4]", "[3]").Replace(platformGood),
			"$.nodeName: is missing\n$.internalPorts: [3] is not a range of ports\n", errSettings,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "daemon.json")
			assert.NilError(t, os.WriteFile(path, []byte(tc.file), 0o600))
			var out strings.Builder
			assert.Equal(t, (&checkCmd{File: path}).run(&out), tc.err)
			assert.Equal(t, out.String(), tc.want)
		})
	}
}
