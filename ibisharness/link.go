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

// Link is a way for connections to one address that can be delayed, cut or silenced. New connections go
// through the newest proxy; those that exist stay with the one that they were opened through.
type Link struct {
	t      testing.TB
	name   string
	target string
	front  net.Listener

	mu      sync.Mutex
	current *toxiproxy.Proxy // nil while the link is cut
	all     []*toxiproxy.Proxy
	toxics  []string // of the current proxy
	open    map[net.Conn]struct{}
}

// newLink listens at address, or at a free one when it is empty, for connections to target.
func newLink(t testing.TB, name, address, target string) *Link {
	t.Helper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	front, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	l := &Link{t: t, name: name, target: target, front: front, open: map[net.Conn]struct{}{}}
	l.renew()
	go l.accept()
	t.Cleanup(l.close)
	return l
}

// Address is where to connect to.
func (l *Link) Address() string { return l.front.Addr().String() }

// renew makes a fresh proxy the current one.
func (l *Link) renew() {
	p := toxiproxy.NewProxy()
	p.Name, p.Listen, p.Upstream = l.name, "127.0.0.1:0", l.target
	assert.NilError(l.t, p.Start())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current, l.toxics = p, nil
	l.all = append(l.all, p)
}

func (l *Link) accept() {
	for {
		conn, err := l.front.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

// relay copies between one connection and the proxy that is current when it is opened.
func (l *Link) relay(conn net.Conn) {
	defer shut(conn)
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
	defer shut(out)
	l.mu.Lock()
	l.open[conn], l.open[out] = struct{}{}, struct{}{}
	l.mu.Unlock()
	ended := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{conn, out}, {out, conn}} {
		go func() {
			_, _ = io.Copy(way[0], way[1]) // either end may close at any time
			ended <- struct{}{}
		}()
	}
	<-ended
	l.mu.Lock()
	delete(l.open, conn)
	delete(l.open, out)
	l.mu.Unlock()
}

// Connections is the number of connections that are open through the link.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) / 2
}

// add puts a toxic of this kind on both directions of the current proxy.
func (l *Link) add(kind, attributes string) {
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

// Silence stops all data on the connections that are open, without a reset, while new ones work.
func (l *Link) Silence() {
	l.add("timeout", `"timeout":0`)
	l.renew()
}

// SilenceAll stops all data on the connections that are open and on new ones until Restore.
func (l *Link) SilenceAll() { l.add("timeout", `"timeout":0`) }

// Delay holds back all data by ms milliseconds in each direction until Restore.
func (l *Link) Delay(ms int) { l.add("latency", fmt.Sprintf(`"latency":%d`, ms)) }

// Cut closes every connection and refuses new ones until Restore.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = nil
	for conn := range l.open {
		shut(conn)
	}
}

// Restore lets new connections through unharmed. Connections that were silenced stay silent; those that
// were delayed go on without delay.
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
	l.renew()
}

func (l *Link) close() {
	l.front.Close()
	l.Cut()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.all {
		p.Stop()
	}
}

// shut closes what may be closed already.
func shut(c io.Closer) { c.Close() }
