package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"time"
)

// lateOrders chooses the start orders that are late on their way.
type lateOrders struct {
	mu    sync.Mutex
	task  string // the first start order of this task
	delay time.Duration
}

// set makes the first start order of a task late.
func (l *lateOrders) set(task string, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.task, l.delay = task, delay
}

// take returns by how much a start order is late.
func (l *lateOrders) take(o *order) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.task == "" || o.Task != l.task {
		return 0
	}
	l.task = ""
	return l.delay
}

// putProxy puts a proxy before a worker, which registers with the proxy's address from its next heartbeat on. A call that is
// late gets no answer, and reaches whoever listens at the worker's address by then.
func (w *worker) putProxy(late *lateOrders) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	target := &url.URL{Scheme: "http", Host: w.address}
	forward := httputil.NewSingleHostReverseProxy(target)
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) } // the channel breaks
	handler := http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/run-start" {
			forward.ServeHTTP(rw, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		var o order
		_ = json.Unmarshal(body, &o) // the worker refuses what can't be read
		delay := late.take(&o)
		if delay == 0 {
			r.Body = io.NopCloser(bytes.NewReader(body))
			forward.ServeHTTP(rw, r)
			return
		}
		w.rec.add("trouble", w.id, "order is late", fmt.Sprintf("%s run %d: no answer, carried out after %v", o.Task, o.RunID, delay))
		header := r.Header.Clone()
		time.AfterFunc(delay, func() { w.deliver(target, header, body) })
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	})
	srv := &http.Server{Handler: handler}
	go func() { _ = srv.Serve(l) }() // ends with the process
	w.mu.Lock()
	defer w.mu.Unlock()
	w.registered = l.Addr().String()
	return nil
}

// deliver brings a late call to the worker's address.
func (w *worker) deliver(target *url.URL, header http.Header, body []byte) {
	req, err := http.NewRequest(http.MethodPost, target.JoinPath("/v1/run-start").String(), bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header = header
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.rec.add("trouble", w.id, "order is lost", "")
		return
	}
	defer resp.Body.Close()
	w.rec.add("trouble", w.id, "late order", fmt.Sprintf("has been answered with %d", resp.StatusCode))
}
