package ibisserver_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisserver"
)

func newClient(t *testing.T, h http.HandlerFunc) (*ibisserver.Client, *atomic.Int64) {
	var opened atomic.Int64
	srv := httptest.NewUnstartedServer(h)
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	srv.Start()
	c, stop := ibisserver.NewClient(strings.TrimPrefix(srv.URL, "http://"))
	t.Cleanup(func() {
		stop()
		srv.CloseClientConnections()
		srv.Close()
	})
	return c, &opened
}

func TestErrorClasses(t *testing.T) {
	answer := func(status int, body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			w.Write([]byte(body))
		}
	}
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
		class  func(error) bool
	}{
		{"success", answer(200, `{"Clock":7}`), func(err error) bool { return err == nil }},
		{"fenced", answer(409, `{"Code":"Fenced","Epoch":9,"Clock":7}`), ibisserver.Fenced.Has},
		{"rejected", answer(400, `{"Code":"Rejected","Reason":"StartByPassed","Clock":7}`), ibisserver.Rejected.Has},
		{"refused by a proxy", answer(502, `bad gateway`), ibisserver.Unknown.Has},
		{"conflict from a proxy", answer(409, `{}`), ibisserver.Unknown.Has},
		{"success that cannot be read", answer(200, `{"Clock"`), ibisserver.Unknown.Has},
		{"connection closed", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ibisserver.Unknown.Has},
		{"reply cut off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte(`{"Clock":`))
		}, ibisserver.Unknown.Has},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, _ := newClient(t, tc.answer)
			_, err := c.Start(t.Context(), ibisserver.StartRequest{})
			assert.Assert(t, tc.class(err), "%v", err)
		})
	}
}

func TestRefusalsCarryClockAndEpoch(t *testing.T) {
	c, _ := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		w.Write([]byte(`{"Code":"Fenced","Epoch":9,"Clock":7}`))
	})
	claim, err := c.Claim(t.Context(), ibisserver.ClaimRequest{})
	assert.Assert(t, ibisserver.Fenced.Has(err))
	assert.Equal(t, claim.Epoch, int64(9))
	assert.Equal(t, claim.Clock, int64(7))
	reply, err := c.Renew(t.Context(), ibisserver.RenewRequest{})
	highest, ok := ibisserver.HighestEpoch(err)
	assert.Assert(t, ok)
	assert.Equal(t, highest, int64(9))
	assert.Equal(t, reply.Clock, int64(7))
	_, ok = ibisserver.HighestEpoch(ibisserver.Unknown.New("x"))
	assert.Assert(t, !ok)
}

func TestRefusedConnectionIsUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l.Close()
	c, stop := ibisserver.NewClient(l.Addr().String())
	defer stop()
	_, err = c.Start(t.Context(), ibisserver.StartRequest{})
	assert.Assert(t, ibisserver.Unreachable.Has(err), "%v", err)
}

func TestContextEndedBeforeTheCall(t *testing.T) {
	c, opened := newClient(t, func(http.ResponseWriter, *http.Request) {})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Start(ctx, ibisserver.StartRequest{})
	assert.Assert(t, ibisserver.Unreachable.Has(err), "%v", err)
	assert.Equal(t, opened.Load(), int64(0))
}

// A call on a connection that has become silent ends with its context; the next call opens a new connection.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	release := make(chan struct{})
	var calls atomic.Int64
	c, opened := newClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 2 {
			<-release
		}
		w.Write([]byte(`{}`))
	})
	defer close(release)
	_, err := c.Start(t.Context(), ibisserver.StartRequest{})
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err = c.Start(ctx, ibisserver.StartRequest{})
	assert.Assert(t, ibisserver.Unknown.Has(err), "%v", err)
	before := opened.Load()
	_, err = c.Start(t.Context(), ibisserver.StartRequest{})
	assert.NilError(t, err)
	assert.Equal(t, opened.Load(), before+1)
}
