package ibisnode

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"ibiscrank/ibiscell"
	"ibiscrank/ibisjob"
	"ibiscrank/ibisrpc"
)

// The leader sends a linked daemon the configuration only if that one's is older, as the change from it if it knows that
// version. A large change goes in parts between the other frames: a pong that waited for all of it would come too late,
// the daemon would open another link, and would be sent all of it again.

const (
	configPartBytes = 16 << 10 // size of a part; takes 13 ms on a link of 10 Mbit/s
	// maxConfigParts is the number of parts that are on their way at once, over all links. Together they take half a
	// second on a leader's link of 2 Mbit/s, which is less than pongTimeout.
	maxConfigParts = 8
	// configAckTimeout is how long a daemon that pings may take to acknowledge a part. After that it is sent the
	// configuration from its start.
	configAckTimeout = 3 * time.Second
	// configPartGap is the time without a part after which a daemon no longer waits for the rest of a configuration
	// before it reads it for itself.
	configPartGap = 700 * time.Millisecond
	// maxConfigAcks bounds the acknowledgements that wait to be handled. Late ones of a part that was given up may come
	// together with the one that is waited for.
	maxConfigAcks = 8
	configHistory = 4 // number of earlier versions from which changes can be computed
)

// configPart is a part of an encoded ibisjob.ConfigChange.
type configPart struct {
	Version int64  `cbor:"1,keyasint"` // that the change leads to
	Offset  int    `cbor:"2,keyasint,omitempty"`
	Size    int    `cbor:"3,keyasint"` // of the whole change, in bytes
	Data    []byte `cbor:"4,keyasint"`
}

// configAck acknowledges a part.
type configAck struct {
	Version int64 `cbor:"1,keyasint"` // of the part
	Offset  int   `cbor:"2,keyasint,omitempty"`
	Own     int64 `cbor:"3,keyasint,omitempty"` // version of the configuration that the daemon has now
	Refused bool  `cbor:"4,keyasint,omitempty"` // the daemon can't use the change
}

// changeEncoder encodes the changes that lead to one version, each of them once.
type changeEncoder struct {
	mu      sync.Mutex
	version int64
	changes map[int64][]byte // by version that they apply to
}

// encode returns the encoded change from base, which may be nil, to cfg.
func (e *changeEncoder) encode(cfg, base *ibisjob.Config) ([]byte, error) {
	var from int64
	if base != nil {
		from = base.Version
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != cfg.Version {
		e.version, e.changes = cfg.Version, make(map[int64][]byte)
	}
	if b, ok := e.changes[from]; ok {
		return b, nil
	}
	b, err := encodeConfigChange(cfg.ChangeSince(base))
	if err != nil {
		return nil, err
	}
	e.changes[from] = b
	return b, nil
}

// encodeConfigChange encodes a change as compressed CBOR.
func encodeConfigChange(c *ibisjob.ConfigChange) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := cbor.NewEncoder(w).Encode(c); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return b.Bytes(), nil
}

// decodeConfigChange decodes the result of encodeConfigChange.
func decodeConfigChange(b []byte) (*ibisjob.ConfigChange, error) {
	c := new(ibisjob.ConfigChange)
	if err := cbor.NewDecoder(io.LimitReader(flate.NewReader(bytes.NewReader(b)), ibisrpc.MaxMessageBytes)).Decode(c); err != nil {
		return nil, Error.New("decode a change of the configuration: %w", err)
	}
	return c, nil
}

// earlierConfig returns an earlier version of the configuration, or nil if this daemon doesn't have it any more.
func (n *Node) earlierConfig(version int64) *ibisjob.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, cfg := range n.earlierConfigs {
		if cfg.Version == version {
			return cfg
		}
	}
	return nil
}

// rememberConfig keeps a configuration that is about to be replaced. The caller holds n.mu.
func (n *Node) rememberConfig(cfg *ibisjob.Config) {
	if cfg == nil {
		return
	}
	if len(n.earlierConfigs) >= configHistory {
		n.earlierConfigs = slices.Delete(n.earlierConfigs, 0, 1)
	}
	n.earlierConfigs = append(n.earlierConfigs, cfg)
}

// pollConfig keeps the configuration up to date.
func (t *term) pollConfig() {
	// The read of the recovery may have had no answer.
	timer := time.NewTimer(configInterval - t.n.sinceConfigConfirmed())
	defer timer.Stop()
	for {
		wanted := false
		select {
		case <-t.ctx.Done():
			return
		case <-timer.C:
		case <-t.configWanted:
			wanted = true
		}
		if wanted || !t.scoutFresh.Load() || t.n.sinceConfigConfirmed() >= scoutConfigTimeout || t.n.changeMayBeMissing(t.n.clock.Now()) {
			began := time.Now()
			t.n.readConfig(t.ctx)
			timer.Reset(configInterval - time.Since(began))
			continue
		}
		timer.Reset(configInterval)
	}
}

// configChanged passes a newer configuration on to the engine and the linked daemons.
func (t *term) configChanged(cfg *ibisjob.Config) {
	t.enqueue(func(e *ibiscell.Engine) { e.SetConfig(cfg) })
	t.mu.Lock()
	defer t.mu.Unlock()
	for l := range t.links {
		t.offerConfig(l)
	}
}

// recordPeerConfig records the version of the configuration of a linked daemon, which never goes back.
func (l *link) recordPeerConfig(version int64) {
	for {
		known := l.configVersion.Load()
		if version <= known || l.configVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// offerConfig begins to send the configuration to a linked daemon whose own is older, unless it is being sent. It is not
// sent to a silent daemon, which would keep others waiting, before its next ping.
func (t *term) offerConfig(l *link) {
	cfg := t.n.Config()
	if cfg == nil || l.configVersion.Load() >= cfg.Version || t.silent(l) || !l.sendingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		t.sendConfig(l, cfg)
		l.sendingConfig.Store(false)
		if l.configVersion.Load() >= cfg.Version {
			t.offerConfig(l) // a newer one may have come meanwhile
		}
	}()
}

// silent reports whether no ping of a linked daemon has arrived lately.
func (t *term) silent(l *link) bool {
	return t.n.clock.Now()-l.pingAt.Load() > pingTimeout.Milliseconds()
}

// sendConfig sends cfg to a linked daemon until it has it, is silent or can't use what it is sent. Then its next ping
// begins a new attempt.
func (t *term) sendConfig(l *link, cfg *ibisjob.Config) {
	known := l.configVersion.Load()
	b, err := t.changesToConfig.encode(cfg, t.n.earlierConfig(known))
	if err != nil {
		t.log.WithField("Version", cfg.Version).WithError(err).Error("ConfigEncoding")
		return
	}
	t.countConfig(len(b))
	for offset := 0; offset < len(b) && l.configVersion.Load() < cfg.Version; offset += configPartBytes {
		part := configPart{Version: cfg.Version, Offset: offset, Size: len(b), Data: b[offset:min(offset+configPartBytes, len(b))]}
		if !t.sendConfigPart(l, part) {
			return
		}
	}
}

// sendConfigPart sends a part and waits for its acknowledgement. It reports false when the daemon can't use the change, is
// silent, or doesn't acknowledge the part in time, and when the link is closed.
func (t *term) sendConfigPart(l *link, part configPart) bool {
	select {
	case t.configParts <- struct{}{}:
	case <-l.done:
		return false
	}
	defer func() { <-t.configParts }()
	if t.silent(l) || !l.out.put(&frame{ConfigParts: []configPart{part}}) {
		return false
	}
	metrics.GetOrRegisterCounter("BytesOutConfig", t.n.registry).Inc(int64(len(part.Data)))
	timeout := time.NewTimer(configAckTimeout)
	defer timeout.Stop()
	tick := time.NewTicker(pingInterval)
	defer tick.Stop()
	for {
		select {
		case ack := <-l.configAcks:
			if ack.Version == part.Version && ack.Offset == part.Offset {
				return !ack.Refused
			}
		case <-tick.C:
			if t.silent(l) {
				return false
			}
		case <-timeout.C:
			t.log.WithFields(log.Fields{"Peer": l.Name, "Version": part.Version}).Warn("ConfigPartUnacknowledged")
			return false
		case <-l.done:
			return false
		}
	}
}

// handleConfigAck handles the acknowledgement of a part by a linked daemon.
func (l *link) handleConfigAck(a configAck) {
	l.recordPeerConfig(a.Own)
	select {
	case l.configAcks <- a:
	default: // nothing waits for it
	}
}

// arrivingConfig is a change of the configuration of which not all parts have arrived.
type arrivingConfig struct {
	version int64
	data    []byte
}

// handleConfigPart adds a part of a change. A complete change is applied by another goroutine: that takes a weak VM so
// long that pongs would be handled too late.
func (f *follower) handleConfigPart(p *configPart) {
	complete, err := f.addConfigPart(p)
	if err == nil && complete == nil {
		if p.Version > f.n.refusedConfig.Load() { // what was refused may come, and be refused, for ever
			f.n.configPartAt.Store(f.n.clock.Now())
		}
		f.out.put(&frame{ConfigAcks: []configAck{{Version: p.Version, Offset: p.Offset}}})
		return
	}
	go func() {
		if err == nil {
			err = f.applyConfigChange(complete)
		}
		if err != nil {
			f.n.log.WithField("Version", p.Version).WithError(err).Warn("ConfigPartDropped")
			f.n.refusedConfig.Store(max(f.n.refusedConfig.Load(), p.Version))
			f.n.configPartAt.Store(0)
		}
		f.out.put(&frame{ConfigAcks: []configAck{{Version: p.Version, Offset: p.Offset, Own: f.n.configVersion(), Refused: err != nil}}})
	}()
}

// addConfigPart adds a part to those that have arrived, and returns the encoded change if it is the last one.
func (f *follower) addConfigPart(p *configPart) (complete []byte, _ error) {
	if p.Offset == 0 {
		f.arriving = arrivingConfig{version: p.Version}
	}
	a := &f.arriving
	if p.Size > ibisrpc.MaxMessageBytes || p.Version != a.version || p.Offset != len(a.data) || p.Offset+len(p.Data) > p.Size {
		err := Error.New("%d bytes at %d of %d don't follow the %d bytes of version %d", len(p.Data), p.Offset, p.Size, len(a.data), a.version)
		f.arriving = arrivingConfig{}
		return nil, err
	}
	a.data = append(a.data, p.Data...)
	if len(a.data) < p.Size {
		return nil, nil
	}
	complete = a.data
	f.arriving = arrivingConfig{}
	return complete, nil
}

// applyConfigChange applies an encoded change, unless this daemon's configuration is at least as new.
func (f *follower) applyConfigChange(b []byte) error {
	change, err := decodeConfigChange(b)
	if err != nil {
		return err
	}
	own := f.n.Config()
	if own == nil {
		own = new(ibisjob.Config)
	}
	if own.Version >= change.Version {
		return nil
	}
	cfg, err := own.With(change)
	if err != nil {
		return Error.Wrap(err)
	}
	f.n.setConfig(cfg, "Leader")
	return nil
}

// announceConfig records that the leader has a newer configuration, whose first part will follow.
func (f *follower) announceConfig(version int64) {
	if version > f.n.configVersion() && version > f.announced {
		f.announced = version
		f.n.configPartAt.Store(f.n.clock.Now())
	}
}

// configArriving reports whether a part of the configuration has arrived lately, or is about to.
func (n *Node) configArriving(now ibiscell.Time) bool {
	at := n.configPartAt.Load()
	return at != 0 && now-at < configPartGap.Milliseconds()
}
