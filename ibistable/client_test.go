package ibistable_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibistable"
)

func TestErrorClasses(t *testing.T) {
	reply := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			w.Write([]byte(`{"Error":"why"}`))
		}
	}
	closeConn := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, tc := range []struct {
		name   string
		reply  http.HandlerFunc
		commit func(error) bool
		get    func(error) bool
	}{
		{"conflict", reply(409), ibistable.Conflict.Has, ibistable.Error.Has},
		{"service down", reply(503), ibistable.Unavailable.Has, ibistable.Unavailable.Has},
		{"too many writes", reply(429), ibistable.Unavailable.Has, ibistable.Unavailable.Has},
		{"proxy failed", reply(502), ibistable.Unknown.Has, ibistable.Unavailable.Has},
		{"bad request", reply(400), ibistable.Error.Has, ibistable.Error.Has},
		{"not found", reply(404), ibistable.NotFound.Has, ibistable.NotFound.Has},
		{"connection closed", closeConn, ibistable.Unknown.Has, ibistable.Unavailable.Has},
	} {
		t.Run(tc.name, func(t *testing.T) {
			srv := httptest.NewServer(tc.reply)
			defer srv.Close()
			c := ibistable.NewClient(srv.URL+"/", nil)
			_, err := c.Commit(t.Context(), ibistable.Put("a", ibistable.Any, []byte("v")))
			assert.Assert(t, tc.commit(err), "%v", err)
			_, err = c.Get(t.Context(), "a")
			assert.Assert(t, tc.get(err), "%v", err)
			err = c.Objects().Put(t.Context(), "a", strings.NewReader("v"))
			assert.Assert(t, tc.commit(err), "%v", err)
			_, err = c.Objects().Get(t.Context(), "a")
			assert.Assert(t, tc.get(err), "%v", err)
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	c := ibistable.NewClient("http://"+l.Addr().String(), nil)
	_, err = c.Commit(t.Context(), ibistable.Put("a", ibistable.Any, []byte("v")))
	assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
	err = c.Objects().Delete(t.Context(), "a")
	assert.Assert(t, ibistable.Unavailable.Has(err), "%v", err)
}

func TestPrefixEnd(t *testing.T) {
	for prefix, want := range map[string]string{"a/": "a0", "a\xff": "b", "": "\xff", "\xff\xff": "\xff"} {
		assert.Equal(t, ibistable.PrefixEnd(prefix), want)
	}
}
