package ibisharness

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"gotest.tools/v3/assert"
)

// Link is a TCP proxy for one target address that can delay, close or silence its connections. It forwards
// them through proxies of toxiproxy, whose injected faults are called toxics. A new connection goes through
// the current proxy; an existing one keeps the proxy that it was opened through.
type Link struct {
	t        testing.TB
	name     string
	target   string
	listener net.Listener

	mu      sync.Mutex
	current *toxiproxy.Proxy // nil while the link is cut
	proxies []*toxiproxy.Proxy
	toxics  []string              // names of the toxics of the current proxy
	conns   map[net.Conn]struct{} // two per connection through the link: from the caller and to the proxy
}

// newLink listens on address, or on a free loopback port if address is empty, and forwards connections to
// target.
func newLink(t testing.TB, name, address, target string) *Link {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	l := &Link{t: t, name: name, target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	l.startProxy()
	go l.accept()
	t.Cleanup(l.close)
	return l
}

// Address returns the host:port on which the link accepts connections.
func (l *Link) Address() string { return l.listener.Addr().String() }

// startProxy starts a proxy without toxics and makes it the current one.
func (l *Link) startProxy() {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, "127.0.0.1:0", l.target
	assert.NilError(l.t, p.Start())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current, l.toxics = p, nil
	l.proxies = append(l.proxies, p)
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

// relay forwards data in both directions between conn and the proxy that is current now.
func (l *Link) relay(conn net.Conn) {
	defer closeIgnoringError(conn)
	l.mu.Lock()
	p := l.current
	l.mu.Unlock()
	if p == nil {
		return
	}
	out, err := net.Dial("tcp", p.Listen)
	if err != nil {
		return
	}
	defer closeIgnoringError(out)
	l.mu.Lock()
	l.conns[conn], l.conns[out] = struct{}{}, struct{}{}
	l.mu.Unlock()
	done := make(chan struct{}, 2)
	for _, pair := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(pair[0], pair[1]) // either side may close at any time
			done <- struct{}{}
		}()
	}
	<-done
	l.mu.Lock()
	delete(l.conns, conn)
	delete(l.conns, out)
	l.mu.Unlock()
}

// Connections returns the number of connections open through the link.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) / 2
}

// addToxic adds a toxic of this kind to both directions of the current proxy. The link must not be cut.
func (l *Link) addToxic(kind, attributes string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stream := range []string{"upstream", "downstream"} {
		name := fmt.Sprintf("%s-%s-%d", kind, stream, len(l.toxics))
		spec := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"toxicity":1,"attributes":{%s}}`, name, kind, stream, attributes)
		_, err := l.current.Toxics.AddToxicJson(strings.NewReader(spec))
		assert.NilError(l.t, err)
		l.toxics = append(l.toxics, name)
	}
}

// Silence stops all data on the open connections without resetting them. New connections work.
func (l *Link) Silence() {
	// A timeout toxic drops all data; with timeout 0 it never closes the connection.
	l.addToxic("timeout", `"timeout":0`)
	l.startProxy()
}

// SilenceAll stops all data on the open connections and, until Restore, on new ones.
func (l *Link) SilenceAll() { l.addToxic("timeout", `"timeout":0`) }

// Delay delays all data by ms milliseconds in each direction until Restore.
func (l *Link) Delay(ms int) { l.addToxic("latency", fmt.Sprintf(`"latency":%d`, ms)) }

// Limit limits each direction of each connection to a number of kilobytes a second. It applies to new ones until Restore.
func (l *Link) Limit(kbPerS int) { l.addToxic("bandwidth", fmt.Sprintf(`"rate":%d`, kbPerS)) }

// Cut closes all connections and, until Restore, every new one as soon as it is accepted.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = nil
	for conn := range l.conns {
		closeIgnoringError(conn)
	}
}

// Restore lets new connections work normally. Silenced connections stay silent; delayed ones continue without
// the delay.
func (l *Link) Restore() {
	l.mu.Lock()
	p, names := l.current, l.toxics
	l.mu.Unlock()
	if p != nil {
		for _, name := range names {
			if strings.HasPrefix(name, "latency") {
				assert.NilError(l.t, p.Toxics.RemoveToxic(name))
			}
		}
	}
	l.startProxy()
}

func (l *Link) close() {
	l.listener.Close()
	l.Cut()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies {
		p.Stop()
	}
}

// closeIgnoringError closes c, which may be closed already.
func closeIgnoringError(c io.Closer) { c.Close() }
