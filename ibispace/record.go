package ibispace

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("pace")

// The record of a Learner: a version, the Unix time in milliseconds and the number of entries, then an entry for each
// server in the order of their hashes.
const (
	recordVersion = 1
	maxRecords    = 9_000 // entries, those with most evidence first; 63 kB, of the 64 KiB of a row
	maxAgeMS      = 300_000
	meanScale     = 48  // units of the logarithm of a pace; a byte spans paces from 1/14 to 14
	evidenceScale = 2   // units of evidence; a byte spans maxEvidence
	worthKeeping  = 2.0 // less evidence is not recorded
)

// header begins a record.
type header struct {
	Version uint8
	UnixMS  int64
	Count   uint32
}

// entryRecord is the record of a server.
type entryRecord struct {
	Hash        uint32
	Mean        int8
	Evidence    uint8
	Incarnation uint8 // its last byte
}

// record is a server that has been read and not been asked for.
type record struct {
	server
	incarnation uint8
}

func hash(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // it never returns an error
	return h.Sum32()
}

// Encode returns a record of what is known at now, for Decode. Its size is bounded.
func (l *Learner) Encode(now, unixMS int64) []byte {
	var list []entryRecord
	for id, s := range l.servers {
		if s.fade(now); s.evidence >= worthKeeping {
			list = append(list, entryRecord{
				Hash: hash(id), Mean: int8(math.Round(min(max(s.mean*meanScale, math.MinInt8), math.MaxInt8))),
				Evidence: uint8(math.Round(s.evidence * evidenceScale)), Incarnation: uint8(s.incarnation),
			})
		}
	}
	slices.SortFunc(list, func(a, b entryRecord) int {
		return cmp.Or(cmp.Compare(b.Evidence, a.Evidence), cmp.Compare(a.Hash, b.Hash))
	})
	list = list[:min(len(list), maxRecords)]
	slices.SortFunc(list, func(a, b entryRecord) int { return cmp.Compare(a.Hash, b.Hash) })
	var b bytes.Buffer
	for _, v := range []any{header{recordVersion, unixMS, uint32(len(list))}, list} {
		if err := binary.Write(&b, binary.BigEndian, v); err != nil {
			panic(Error.Wrap(err)) // the types have a fixed size, and the buffer takes all
		}
	}
	return b.Bytes()
}

// Decode adds what a record contains, as of its age at unixMS. A record that is cut short, of another version or old
// changes nothing.
func (l *Learner) Decode(now, unixMS int64, b []byte) (servers int, err error) {
	var h header
	r := bytes.NewReader(b)
	if err := binary.Read(r, binary.BigEndian, &h); err != nil {
		return 0, Error.New("the record of %d bytes has no header", len(b))
	}
	switch size := binary.Size(entryRecord{}); {
	case h.Version != recordVersion:
		return 0, Error.New("the record has version %d; %d is known", h.Version, recordVersion)
	case h.Count > maxRecords || r.Len() != int(h.Count)*size:
		return 0, Error.New("the record of %d servers has %d bytes for them; each takes %d", h.Count, r.Len(), size)
	case unixMS-h.UnixMS > maxAgeMS:
		return 0, Error.New("the record is %d ms old; at most %d are of use", unixMS-h.UnixMS, maxAgeMS)
	}
	list := make([]entryRecord, h.Count)
	if err := binary.Read(r, binary.BigEndian, list); err != nil {
		return 0, Error.Wrap(err)
	}
	l.recovered = make(map[uint32]record, len(list))
	for _, e := range list {
		l.recovered[e.Hash] = record{
			server:      server{mean: float64(e.Mean) / meanScale, evidence: float64(e.Evidence) / evidenceScale, at: now - max(unixMS-h.UnixMS, 0)},
			incarnation: e.Incarnation,
		}
	}
	return len(list), nil
}
