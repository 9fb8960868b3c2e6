package ibislimit

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reasons for which connections are closed or refused, as they are recorded.
const (
	ConnsFull    = "ConnsFull"    // a new one, since all others carry a request
	ConnReplaced = "ConnReplaced" // for a new one
	FDsExhausted = "FDsExhausted" // for a new one, since the process has no descriptors left
	HeaderSlow   = "HeaderSlow"   // it took too long to send a header
	EarlyBytes   = "EarlyBytes"   // it sent too much before its first message was complete
	idle         = "Idle"         // not recorded
)

const (
	sweepInterval = 500 * time.Millisecond // between two looks for slow and idle connections
	acceptPause   = 10 * time.Millisecond  // after descriptors or other resources have run out
	freedFDs      = 32                     // connections that are closed when descriptors have run out
	refuseTimeout = 100 * time.Millisecond // for writing Options.Refusal, which fits into any send buffer
)

// Options configures a Listener. Zero values mean no limit.
type Options struct {
	MaxConns      int                  // open connections
	MaxUnused     int                  // of them, those that have not been Busy yet
	MaxEarlyBytes int64                // read from a connection before it is Busy for the first time
	MaxEarlyTotal int64                // the same of all connections together
	HeaderTimeout func() time.Duration // from the first byte of a request to HeaderDone or Busy
	IdleTimeout   func() time.Duration // without a byte, before the first request or after the last one
	AckTimeout    time.Duration        // for which sent bytes may stay unacknowledged before the connection ends
	Refusal       []byte               // sent to a new connection when all others are Busy
	Recorder      *Recorder            // may be nil
}

// Listener accepts connections within limits. When there are MaxConns, or MaxUnused of them, it closes one that waits for a request to make room:
// the oldest of those that have had none yet, or else the one that has been idle the longest. Accept does not fail when
// descriptors run out; it closes waiting connections instead.
type Listener struct {
	net.Listener
	opts Options
	done chan struct{}

	mu     sync.Mutex
	conns  map[string]*Conn // by remote address
	early  int64            // sum of the bytes of conns that have not been busy
	unused list.List        // of *Conn that wait for their first request, the oldest first
	idle   list.List        // of *Conn that wait for another request, the one that waits the longest first
	closed bool
}

// NewListener returns a listener that accepts connections from l.
func NewListener(l net.Listener, opts Options) *Listener {
	limited := &Listener{Listener: l, opts: opts, done: make(chan struct{}), conns: make(map[string]*Conn)}
	go limited.sweep()
	return limited
}

// Close implements net.Listener. It does not close connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE) {
			if !l.freeFDs() {
				time.Sleep(acceptPause)
			}
			continue
		}
		if errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.ENOBUFS) || errors.Is(err, unix.ENOMEM) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		l.limitUnacknowledged(c)
		if conn := l.add(c); conn != nil {
			return conn, nil
		}
		l.refuse(c)
	}
}

// limitUnacknowledged makes the kernel end c when bytes stay unacknowledged for AckTimeout. A server that sets this itself, as that
// of gRPC does, finds no TCP connection behind a Conn.
func (l *Listener) limitUnacknowledged(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || l.opts.AckTimeout == 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return // it is closed, as its first read shows
	}
	// An error of the option leaves the timeouts of the kernel.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(l.opts.AckTimeout.Milliseconds()))
	})
}

// refuse closes a connection for which there is no room.
func (l *Listener) refuse(c net.Conn) {
	l.opts.Recorder.Record(ConnsFull, c.RemoteAddr().String())
	if len(l.opts.Refusal) > 0 && c.SetWriteDeadline(time.Now().Add(refuseTimeout)) == nil {
		_, _ = c.Write(l.opts.Refusal) // the client may have gone
	}
	_ = c.Close() // nothing was read
}

// add returns c as a connection that waits for a request, or nil if there is no room for it.
func (l *Listener) add(c net.Conn) *Conn {
	l.mu.Lock()
	full := l.opts.MaxConns > 0 && len(l.conns) >= l.opts.MaxConns || l.opts.MaxUnused > 0 && l.unused.Len() >= l.opts.MaxUnused
	l.mu.Unlock()
	if full && !l.replace(ConnReplaced) {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := &Conn{Conn: c, l: l, remote: c.RemoteAddr().String(), state: waiting, since: time.Now()}
	conn.queue, conn.place = &l.unused, l.unused.PushBack(conn)
	l.conns[conn.remote] = conn
	return conn
}

// replace closes a connection that waits for a request; it reports false if there is none.
func (l *Listener) replace(reason string) bool {
	l.mu.Lock()
	var c *Conn
	for _, queue := range [...]*list.List{&l.unused, &l.idle} {
		if e := queue.Front(); e != nil {
			c, _ = e.Value.(*Conn)
			l.remove(c)
			break
		}
	}
	l.mu.Unlock()
	if c == nil {
		return false
	}
	l.drop(c, reason)
	return true
}

// freeFDs closes some of the connections that wait for a request; it reports false if there is none.
func (l *Listener) freeFDs() bool {
	if !l.replace(FDsExhausted) {
		return false
	}
	for range freedFDs - 1 {
		l.replace(FDsExhausted)
	}
	return true
}

// drop closes a connection of a client.
func (l *Listener) drop(c *Conn, reason string) {
	if reason != idle {
		l.opts.Recorder.Record(reason, c.RemoteAddr().String())
	}
	_ = c.Close() // the client may have been first
}

// sweep closes slow and idle connections until the listener is closed.
func (l *Listener) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) > 2*sweepInterval
		last = now
		if late {
			continue // the process was stopped or slow: what has arrived meanwhile is read first
		}
		for c, reason := range l.expired(now) {
			l.drop(c, reason)
		}
	}
}

// Conn returns the open connection from a remote address, or nil if there is none.
func (l *Listener) Conn(remote net.Addr) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[remote.String()]
}

// expired returns the connections that are slow or idle for too long, and why.
func (l *Listener) expired(now time.Time) map[*Conn]string {
	header, idleFor := timeoutOf(l.opts.HeaderTimeout), timeoutOf(l.opts.IdleTimeout)
	found := make(map[*Conn]string)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, queue := range [...]*list.List{&l.unused, &l.idle} {
		for e, next := queue.Front(), (*list.Element)(nil); e != nil; e = next {
			next = e.Next()
			c, _ := e.Value.(*Conn)
			switch age := now.Sub(c.since); {
			case c.state == reading && header > 0 && age > header:
				found[c] = HeaderSlow
			case c.state == waiting && idleFor > 0 && age > idleFor:
				found[c] = idle
			default:
				continue
			}
			l.remove(c)
		}
	}
	return found
}

func timeoutOf(f func() time.Duration) time.Duration {
	if f == nil {
		return 0
	}
	return f()
}

// connState is what a connection is doing.
type connState int

const (
	waiting     connState = iota // for the first byte of a request
	reading                      // the header of a request
	readingBody                  // of a request
	busy                         // with a request that has been read
)

// Conn is a connection that a Listener has accepted. All methods but those of net.Conn may be called on a nil Conn, and do
// nothing then.
type Conn struct {
	net.Conn
	l      *Listener
	remote string // address

	// Guarded by l.mu.
	state connState
	since time.Time     // beginning of waiting or reading
	early int64         // bytes read before the connection was busy for the first time
	used  bool          // it has been busy
	queue *list.List    // nil while it is not in one
	place *list.Element // in queue
}

// Of returns c as a Conn, or nil if no Listener has accepted it.
func Of(c net.Conn) *Conn {
	conn, _ := c.(*Conn)
	return conn
}

// remove forgets a connection that is to be closed. The caller holds l.mu.
func (l *Listener) remove(c *Conn) {
	c.leave()
	c.forgetEarly()
	if c.isOpen() {
		delete(l.conns, c.remote)
	}
}

// isOpen reports whether c has not been closed, nor chosen to be. The caller holds l.mu.
func (c *Conn) isOpen() bool { return c.l.conns[c.remote] == c }

// forgetEarly forgets the bytes that c has sent before it was busy. The caller holds l.mu.
func (c *Conn) forgetEarly() {
	c.l.early -= c.early
	c.early = 0
}

// leave removes c from its queue. The caller holds l.mu.
func (c *Conn) leave() {
	if c.queue != nil {
		c.queue.Remove(c.place)
		c.queue, c.place = nil, nil
	}
}

// HeaderDone tells that the header of a request has been read.
func (c *Conn) HeaderDone() {
	if c == nil {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.state == waiting || c.state == reading {
		c.state = readingBody
	}
}

// Busy tells that a request has been read. The connection is not closed for others until Idle is called. Busy reports false
// if the connection has been closed already, so that the request must not be carried out.
func (c *Conn) Busy() bool {
	if c == nil {
		return true
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if !c.isOpen() {
		return false
	}
	c.state, c.used = busy, true
	c.leave()
	c.forgetEarly()
	return true
}

// Idle tells that a request has been answered, or refused before it was read.
func (c *Conn) Idle() {
	if c == nil {
		return
	}
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.state, c.since = waiting, time.Now()
	if !c.used || !c.isOpen() {
		return // it keeps its place, or is closed
	}
	c.leave()
	c.queue, c.place = &c.l.idle, c.l.idle.PushBack(c)
}

// errEarlyBytes ends a connection that sent more than MaxEarlyBytes, or with which all have sent more than MaxEarlyTotal.
var errEarlyBytes = errors.New("too many bytes before the first message")

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(n) {
		c.l.opts.Recorder.Record(EarlyBytes, c.RemoteAddr().String())
		return 0, errEarlyBytes
	}
	return n, err
}

// received counts n bytes; it reports false if there are too many.
func (c *Conn) received(n int) bool {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	if c.state == waiting {
		c.state, c.since = reading, time.Now()
	}
	if c.used || !c.isOpen() {
		return true
	}
	c.early += int64(n)
	c.l.early += int64(n)
	perConn, total := c.l.opts.MaxEarlyBytes, c.l.opts.MaxEarlyTotal
	return (perConn == 0 || c.early <= perConn) && (total == 0 || c.l.early <= total)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.l.mu.Lock()
	c.l.remove(c)
	c.l.mu.Unlock()
	return c.Conn.Close()
}
