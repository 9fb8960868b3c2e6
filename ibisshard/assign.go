package ibisshard

import (
	"github.com/cespare/xxhash/v2"
)

// loadSlack is the part of the mean load, as a divisor, by which Assign lets one incarnation exceed it.
const loadSlack = 8

// score is the weight of a key at one ID; the highest one wins.
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Rendezvous chooses one of the IDs for a key by highest random weight, or "" when there are none. When
// an ID comes or goes, only the keys that it wins or held change.
func Rendezvous(key string, ids []string) string {
	best, top := "", uint64(0)
	for _, id := range ids {
		if s := score(key, id); best == "" || s > top || (s == top && id < best) {
			best, top = id, s
		}
	}
	return best
}

// Assign chooses the holder of each shard among the live incarnations by highest random weight, where no
// incarnation gets more than the mean, rounded up, and an eighth of it. Without live incarnations every
// holder is "".
func Assign(shards int, live []string) []string {
	holders := make([]string, shards)
	if len(live) == 0 {
		return holders
	}
	mean := (shards + len(live) - 1) / len(live)
	bound := mean + mean/loadSlack
	load := make(map[string]int, len(live))
	open := make([]string, 0, len(live))
	for s := range holders {
		open = open[:0]
		for _, id := range live {
			if load[id] < bound {
				open = append(open, id)
			}
		}
		holders[s] = Rendezvous(Key(s), open)
		load[holders[s]]++
	}
	return holders
}
