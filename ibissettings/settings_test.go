package ibissettings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// validSettings is a settings file with the required settings and some peers.
const validSettings = `{
	"Listen": "127.0.0.1:8080",
	"PeerListen": "127.0.0.1:8081",
	"FailureDomain": "ub-1",
	"Table": "http://127.0.0.1:7000",
	"VMList": "http://127.0.0.1:7001/vms",
	"Peers": ["127.0.0.1:8082", "[::1]:8083"]
}`

func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, Settings{
		Listen: "127.0.0.1:8080", PeerListen: "127.0.0.1:8081",
		Advertise: "127.0.0.1:8081", AdvertiseHTTP: "127.0.0.1:8080",
		FailureDomain: "ub-1", Region: "default",
		Table: "http://127.0.0.1:7000", VMList: "http://127.0.0.1:7001/vms",
		Peers:  []string{"127.0.0.1:8082", "[::1]:8083"},
		Shards: 128, HeartbeatMS: 250, LeaseMS: 10000, RevokeAfterMS: 3000, CutOffMS: 3000,
		ConfigPollMS: 1000, CommitMS: 25, DrainMS: 30000, StoreWritesPerSecond: 280,
		MaxBodyBytes: 1 << 20, MaxQueued: 20000, DuplicateWindowMS: 900000, LogLevel: "info",
	})
}

func TestRoundTrip(t *testing.T) {
	s, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	b, err := json.Marshal(s)
	assert.NilError(t, err)
	var decoded Settings
	assert.NilError(t, json.Unmarshal(b, &decoded))
	assert.DeepEqual(t, decoded, s)
}

func TestProblems(t *testing.T) {
	edit := func(from, to string) string { return strings.Replace(validSettings, from, to, 1) }
	with := func(member string) string { return edit("{", "{"+member+",") }
	for _, tc := range []struct {
		name, file string
		want       []string
	}{
		{"NotJSON", "{\n\"Listen\" 3}", []string{"$: line 2: expected colon after object key"}},
		{"Empty", "", []string{"$: the JSON ends too early"}},
		{"CutShort", validSettings[:30], []string{"$: the JSON ends too early"}},
		{"NotAnObject", "[]", []string{"$: is not a JSON object"}},
		{"TwoValues", validSettings + "{}", []string{"$: has more than one JSON value"}},
		{"Unknown", with(`"Lissten": "x"`), []string{"$.Lissten: is not a known setting"}},
		{"WrongCase", with(`"listen": "x"`), []string{"$.listen: is not a known setting"}},
		{"Twice", with(`"Listen": "127.0.0.1:8080"`), []string{"$.Listen: is given twice"}},
		{"WrongType", with(`"Shards": "many"`), []string{`$.Shards: "many" is not a whole number`}},
		{"Fraction", with(`"LeaseMS": 1.5`), []string{`$.LeaseMS: 1.5 is not a whole number`}},
		{"Null", with(`"LogLevel": null`), []string{`$.LogLevel: null is not a string`}},
		{"NameForAddress", edit("127.0.0.1:8082", "peer-2:8082"), []string{`$.Peers[0]: "peer-2:8082" is not an IP address with a port, such as 10.0.0.7:8080`}},
		{"PeerNotString", edit(`"127.0.0.1:8082"`, "7"), []string{"$.Peers[0]: 7 is not a string"}},
		{"NameInURL", edit("http://127.0.0.1:7000", "http://table:7000"), []string{`$.Table: "http://table:7000" has the host "table", which is not an IP address`}},
		{"NotHTTP", edit("http://127.0.0.1:7000", "ftp://127.0.0.1"), []string{`$.Table: "ftp://127.0.0.1" is not a URL such as http://10.0.0.9:7000`}},
		{"Unspecified", edit("127.0.0.1:8081", "0.0.0.0:8081"), []string{`$.Advertise: "0.0.0.0:8081" has the unspecified IP address, which others cannot dial`}},
		{"PortZero", with(`"Advertise": "10.0.0.1:0"`), []string{`$.Advertise: "10.0.0.1:0" has port 0`}},
		{"SameListen", edit(`"PeerListen": "127.0.0.1:8081"`, `"PeerListen": "127.0.0.1:8080"`), []string{"$.PeerListen: is the same as Listen"}},
		{"BodyTooLarge", with(`"MaxBodyBytes": 9000000`), []string{"$.MaxBodyBytes: 9000000 is outside 1024 to 8388608"}},
		{"Negative", with(`"MaxQueued": -1`), []string{"$.MaxQueued: -1 is outside 1 to 10000000"}},
		{"Hash", with(`"OperatorKeyHash": "abc"`), []string{"$.OperatorKeyHash: is not a SHA-256 of 64 lower-case hexadecimal digits"}},
		{"LogLevel", with(`"LogLevel": "loud"`), []string{`$.LogLevel: "loud" is not one of debug, info, warn, error, fatal`}},
		{"FewHeartbeats", with(`"HeartbeatMS": 1000`), []string{"$.RevokeAfterMS: 3000 is below 4 times HeartbeatMS (1000)"}},
		{"ShortLease", with(`"LeaseMS": 3000`), []string{"$.LeaseMS: 3000 is not above RevokeAfterMS (3000), so leases would expire before a peer takes over"}},
		{"SlowPoll", with(`"ConfigPollMS": 3000`), []string{"$.CutOffMS: 3000 is not above ConfigPollMS (3000)"}},
		{"AllAtOnce", `{"Nope": 1, "Shards": [], "Peers": 3, "LogLevel": "loud"}`, []string{
			"$.Nope: is not a known setting", "$.Shards: [] is not a whole number", "$.Peers: 3 is not a list",
			"$.Listen: is missing", "$.PeerListen: is missing", "$.Table: is missing", "$.VMList: is missing",
			"$.FailureDomain: is missing", `$.LogLevel: "loud" is not one of debug, info, warn, error, fatal`,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse([]byte(tc.file))
			var got []string
			for _, p := range ProblemsOf(err) {
				got = append(got, p.String())
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "daemon.json")
	_, err := Load(path)
	assert.ErrorContains(t, err, "no such file")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	assert.NilError(t, s.Check())
}

// FuzzParse checks that settings that parse also pass Check, and that any error lists its problems.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"Peers":[null]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Parse(b)
		if err == nil {
			assert.NilError(t, s.Check())
		} else {
			assert.Assert(t, len(ProblemsOf(err)) > 0)
		}
	})
}
