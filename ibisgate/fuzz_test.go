package ibisgate

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
)

func FuzzDecodeRequest(f *testing.F) {
	f.Add([]byte(`{"Class":"Gang","Tasks":4,"Resources":{"MilliCPU":100},"Payload":"aGk="}`))
	f.Add([]byte(`{"Class":"Batch"}{}`))
	f.Add([]byte(`null`))
	g := New(&fakeScheduler{}, newDaemon(), newDaemon())
	f.Fuzz(func(t *testing.T, b []byte) {
		req, err := decodeRequest(b)
		if err != nil {
			return
		}
		if req, err = g.normalize(req, "floor"); err == nil {
			assert.NilError(t, req.Check())
			assert.Equal(t, req.Team, "floor")
		}
	})
}

// FuzzSubmit checks that every submission, however malformed, gets one complete JSON reply.
func FuzzSubmit(f *testing.F) {
	f.Add("Bearer "+testKey, "WaitMS=5", `{"Class":"Batch"}`)
	f.Add("Basic eA==", "Wait=1s", `{"Class":"Batch","Queue":"quotes"}`)
	router := mux.NewRouter()
	New(&fakeScheduler{}, newDaemon(), newDaemon(), WithMaxBodyBytes(1000)).Register(router)
	f.Fuzz(func(t *testing.T, authorization, query, body string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
		r.Header.Set("Authorization", authorization)
		r.URL.RawQuery = query
		w := httptest.NewRecorder()
		router.ServeHTTP(w, r)
		assert.Assert(t, json.Valid(w.Body.Bytes()))
		assert.Equal(t, w.Header().Get("Content-Length"), strconv.Itoa(w.Body.Len()))
	})
}
