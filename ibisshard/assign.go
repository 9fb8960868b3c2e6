package ibisshard

import (
	"github.com/cespare/xxhash/v2"
)

// loadSlackDivisor limits the load of one incarnation in Assign to mean + mean/loadSlackDivisor shards.
const loadSlackDivisor = 8

// rendezvousScore returns the pseudo-random weight of an ID for a key; the ID with the highest weight wins.
func rendezvousScore(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// Rendezvous chooses one of the IDs for a key by rendezvous hashing (highest random weight), or "" when
// there are none. Adding or removing an ID moves only the keys that this ID wins or held.
func Rendezvous(key string, ids []string) string {
	best, bestScore := "", uint64(0)
	for _, id := range ids {
		if s := rendezvousScore(key, id); best == "" || s > bestScore || (s == bestScore && id < best) {
			best, bestScore = id, s
		}
	}
	return best
}

// Assign chooses a holder for each shard among the live incarnations by rendezvous hashing with bounded
// loads: no incarnation gets more than the mean number of shards, rounded up, plus an eighth of that. The
// result is indexed by shard. Without live incarnations every holder is "".
func Assign(shards int, live []string) []string {
	holders := make([]string, shards)
	if len(live) == 0 {
		return holders
	}
	mean := (shards + len(live) - 1) / len(live)
	maxLoad := mean + mean/loadSlackDivisor
	load := make(map[string]int, len(live))
	eligible := make([]string, 0, len(live))
	for s := range holders {
		eligible = eligible[:0]
		for _, id := range live {
			if load[id] < maxLoad {
				eligible = append(eligible, id)
			}
		}
		holders[s] = Rendezvous(Key(s), eligible)
		load[holders[s]]++
	}
	return holders
}
