package ibisstandin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"ibiscrank/ibishttp"
	"ibiscrank/ibistable"
)

// MaxObjectBytes is the maximum size of an object.
const MaxObjectBytes = 64 << 20

// Handler serves the table service and the object store, subject to the faults, and /faults and /stats, which the
// faults don't affect.
func (t *Table) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(ibistable.PathRow, t.withFaults(t.serveRow)).Methods(http.MethodGet)
	r.HandleFunc(ibistable.PathRows, t.withFaults(t.serveRows)).Methods(http.MethodGet)
	r.HandleFunc(ibistable.PathCommit, t.withFaults(t.serveCommit)).Methods(http.MethodPost)
	r.HandleFunc(ibistable.PathObject, t.withFaults(t.serveObject))
	r.HandleFunc(PathFaults, func(w http.ResponseWriter, r *http.Request) {
		serveFaults(w, r, t.Faults, t.SetFaults)
	})
	r.HandleFunc(PathStats, func(w http.ResponseWriter, _ *http.Request) {
		ibishttp.WriteJSON(w, http.StatusOK, t.Stats())
	})
	return r
}

// serveFaults serves /faults: POST replaces the faults, and both POST and GET return the current ones.
func serveFaults[F any](w http.ResponseWriter, r *http.Request, get func() F, set func(F)) {
	if r.Method == http.MethodPost {
		var f F
		if err := ibishttp.ReadJSON(w, r, &f); err != nil {
			badRequest(w, err)
			return
		}
		set(f)
	}
	ibishttp.WriteJSON(w, http.StatusOK, get())
}

// withFaults wraps h with the injected delay and outage. A delayed call takes effect even if the caller has
// disconnected.
func (t *Table) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f := t.Faults(); !f.Down {
			sleep(t.clk, f.DelayMS, nil)
		}
		if t.Faults().Down {
			tableError(w, ibistable.Unavailable.New("the table service is down"))
			return
		}
		h(w, r)
	}
}

func (t *Table) serveRow(w http.ResponseWriter, r *http.Request) {
	row, err := t.Get(r.Context(), r.URL.Query().Get("key"))
	tableReply(w, row, err)
}

func (t *Table) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		tableError(w, ibistable.Error.Wrap(err))
		return
	}
	rows, err := t.Scan(r.Context(), q.Get("from"), q.Get("to"), limit)
	tableReply(w, ibistable.ScanReply{Rows: rows}, err)
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var c ibistable.CommitRequest
	if err := ibishttp.ReadJSON(w, r, &c); err != nil {
		tableError(w, ibistable.Error.Wrap(err))
		return
	}
	version, err := t.Commit(r.Context(), c.Writes...)
	if err == nil && t.consumeLostReply() {
		loseReply()
	}
	tableReply(w, ibistable.CommitReply{Version: version}, err)
}

func (t *Table) serveObject(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	switch r.Method {
	case http.MethodPut:
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxObjectBytes))
		if err == nil {
			err = t.putObject(key, b)
		}
		if err == nil && t.consumeLostReply() {
			loseReply()
		}
		tableReply(w, struct{}{}, err)
	case http.MethodDelete:
		t.deleteObject(key)
		tableReply(w, struct{}{}, nil)
	case http.MethodGet:
		b, err := t.getObject(key)
		if err != nil {
			tableError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Write(b)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (t *Table) putObject(key string, b []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.admitWrites(1) {
		t.stats.Refused++
		return ibistable.Unavailable.New("more than %d writes per second", t.faults.MaxWritesPerSecond)
	}
	t.objects[key] = b
	t.stats.BytesWritten += int64(len(b))
	return nil
}

func (t *Table) getObject(key string) ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b, ok := t.objects[key]
	t.countRead(int64(len(b)))
	if !ok {
		return nil, ibistable.NotFound.New("no object %q", key)
	}
	return b, nil
}

func (t *Table) deleteObject(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.objects, key)
}

// consumeLostReply reports whether this reply is to be lost, and if so decrements LoseReplies.
func (t *Table) consumeLostReply() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.LoseReplies == 0 {
		return false
	}
	t.faults.LoseReplies--
	return true
}

// tableReply sends v, or err if it is not nil.
func tableReply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		tableError(w, err)
		return
	}
	ibishttp.WriteJSON(w, http.StatusOK, v)
}

// tableError sends err with the status code of its class.
func tableError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	switch {
	case ibistable.Conflict.Has(err):
		status = http.StatusConflict
	case ibistable.NotFound.Has(err):
		status = http.StatusNotFound
	case ibistable.Unavailable.Has(err):
		status = http.StatusServiceUnavailable
	}
	ibishttp.WriteJSON(w, status, ibistable.ErrorReply{Error: err.Error()})
}
