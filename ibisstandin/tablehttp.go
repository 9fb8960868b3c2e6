package ibisstandin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"ibiscrank/ibishttp"
	"ibiscrank/ibistable"
)

// MaxObjectBytes bounds one object.
const MaxObjectBytes = 64 << 20

// Handler serves the table service, the object store, /faults and /stats.
func (t *Table) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(ibistable.PathRow, t.faulty(t.serveRow)).Methods(http.MethodGet)
	r.HandleFunc(ibistable.PathRows, t.faulty(t.serveRows)).Methods(http.MethodGet)
	r.HandleFunc(ibistable.PathCommit, t.faulty(t.serveCommit)).Methods(http.MethodPost)
	r.HandleFunc(ibistable.PathObject, t.faulty(t.serveObject))
	r.HandleFunc(PathFaults, func(w http.ResponseWriter, r *http.Request) {
		serveFaults(w, r, t.Faults, t.SetFaults)
	})
	r.HandleFunc(PathStats, func(w http.ResponseWriter, _ *http.Request) {
		ibishttp.WriteJSON(w, http.StatusOK, t.Stats())
	})
	return r
}

// serveFaults reads and replaces faults of any kind.
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

// faulty delays and refuses calls as the faults say. A delayed call takes effect even when its caller
// has left.
func (t *Table) faulty(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if f := t.Faults(); !f.Down {
			sleep(t.clk, f.DelayMS, nil)
		}
		if t.Faults().Down {
			tableError(w, ibistable.Unavailable.New("the service is down"))
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
	if err == nil && t.takeLostReply() {
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
		if err == nil && t.takeLostReply() {
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
	if !t.admit(1) {
		t.stats.Refused++
		return ibistable.Unavailable.New("more than %d writes a second", t.faults.MaxWritesPerSecond)
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

// takeLostReply uses up one of the replies that are to be lost.
func (t *Table) takeLostReply() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.LoseReplies == 0 {
		return false
	}
	t.faults.LoseReplies--
	return true
}

func tableReply(w http.ResponseWriter, v any, err error) {
	if err != nil {
		tableError(w, err)
		return
	}
	ibishttp.WriteJSON(w, http.StatusOK, v)
}

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
