// Package ibislog writes log entries as lines of key=value pairs (logfmt) and reads them back to explain what
// happened to one request. Command ibiscrank uses it.
//
// Logging never blocks the caller: lines are held in a bounded buffer that is written in the background. Lines
// that don't fit are dropped, and their number is logged as LogLinesDropped.
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
	flushInterval  = 100 * time.Millisecond // lines are written in batches to save system calls
	maxBufferBytes = 512 << 10              // about 3,000 lines
)

// Handler is a log.Handler that buffers lines and writes them in the background. Create it with New.
type Handler struct {
	w       io.Writer
	mu      sync.Mutex
	buf     bytes.Buffer
	dropped int // lines lost since the last LogLinesDropped entry
	quit    chan struct{}
	done    chan struct{}
}

// New returns a handler that writes to w, and a function that writes the buffered lines and stops the handler.
// The function waits for the last write to w and may be called more than once.
func New(w io.Writer) (*Handler, func()) {
	h := &Handler{w: w, quit: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	var once sync.Once
	return h, func() {
		once.Do(func() { close(h.quit) })
		<-h.done
	}
}

// HandleLog implements log.Handler. It adds e to the buffer, or drops it if the buffer is full, and always
// returns nil.
func (h *Handler) HandleLog(e *log.Entry) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.buf.Len() > maxBufferBytes {
		h.dropped++
		return nil
	}
	h.appendLine(e)
	return nil
}

// appendLine adds the line of e to the buffer. The caller holds mu.
func (h *Handler) appendLine(e *log.Entry) {
	h.buf.WriteString("Time=")
	h.buf.Write(e.Timestamp.UTC().AppendFormat(h.buf.AvailableBuffer(), "2006-01-02T15:04:05.000Z"))
	h.buf.WriteString(" Level=" + e.Level.String() + " Event=" + quoteIfNeeded(e.Message))
	for _, name := range e.Fields.Names() {
		h.buf.WriteString(" " + name + "=" + quoteIfNeeded(formatValue(e.Fields[name])))
	}
	h.buf.WriteByte('\n')
}

func formatValue(v any) string {
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

// quoteIfNeeded quotes a value that logfmt would not read back as one word.
func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsAny(s, " =\"\n\t") {
		return strconv.Quote(s)
	}
	return s
}

func (h *Handler) run() {
	defer close(h.done)
	tick := time.NewTicker(flushInterval)
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

// flush writes the buffered lines. It doesn't hold mu during the write, so that a slow reader of the log
// doesn't block callers of HandleLog. Lines of a failed write are lost and counted as dropped.
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
