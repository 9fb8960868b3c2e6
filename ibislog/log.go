// Package ibislog writes log entries as lines of key=value pairs without ever blocking the work that they
// tell of. Lines wait in a bounded buffer; what does not fit is counted, and the count is logged.
//
// Usage:
//
//	h, stop := ibislog.New(os.Stdout)
//	defer stop()
//	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
package ibislog

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	flushEvery = 100 * time.Millisecond // lines are written together, to save system calls
	maxBuffer  = 512 << 10              // bytes that wait; about 3,000 lines
)

// Handler is a log.Handler.
type Handler struct {
	w       io.Writer
	mu      sync.Mutex
	buf     bytes.Buffer
	dropped int
	quit    chan struct{}
	done    chan struct{}
}

// New makes a handler that writes to w. The second result writes what waits and ends it.
func New(w io.Writer) (*Handler, func()) {
	h := &Handler{w: w, quit: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	var once sync.Once
	return h, func() {
		once.Do(func() { close(h.quit) })
		<-h.done
	}
}

// HandleLog implements log.Handler.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buf.Len() > maxBuffer {
		h.dropped++
		return nil
	}
	h.line(e)
	return nil
}

func (h *Handler) line(e *log.Entry) {
	h.buf.WriteString("Time=")
	h.buf.Write(e.Timestamp.UTC().AppendFormat(h.buf.AvailableBuffer(), "2006-01-02T15:04:05.000Z"))
	h.buf.WriteString(" Level=" + e.Level.String() + " Event=" + quoted(e.Message))
	for _, name := range e.Fields.Names() {
		h.buf.WriteString(" " + name + "=" + quoted(text(e.Fields[name])))
	}
	h.buf.WriteByte('\n')
}

func text(v any) string {
	switch v := v.(type) {
	case string:
		return v
	case int:
		return strconv.Itoa(v)
	case int64:
		return strconv.FormatInt(v, 10)
	}
	return fmt.Sprint(v)
}

// quoted quotes what would not read as one word.
func quoted(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

func (h *Handler) run() {
	defer close(h.done)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case <-h.quit:
			h.flush()
			return
		case <-tick.C:
			h.flush()
		}
	}
}

// flush writes what waits. The lock is not held meanwhile, so that a slow reader blocks nobody.
func (h *Handler) flush() {
	h.mu.Lock()
	if h.dropped > 0 {
		fmt.Fprintf(&h.buf, "Time=%s Level=warn Event=LogLinesDropped Lines=%d\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), h.dropped)
		h.dropped = 0
	}
	out := append([]byte(nil), h.buf.Bytes()...)
	h.buf.Reset()
	h.mu.Unlock()
	if len(out) == 0 {
		return
	}
	if _, err := h.w.Write(out); err != nil {
		h.mu.Lock()
		h.dropped += bytes.Count(out, []byte{'\n'})
		h.mu.Unlock()
	}
}
