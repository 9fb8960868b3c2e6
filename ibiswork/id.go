package ibiswork

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ID identifies a request. It is a UUID of version 7, which contains the time of its creation.
type ID string

// NewID generates an ID for the current time.
func NewID() ID { return ID(uuid.Must(uuid.NewV7()).String()) }

// Check returns an error unless the ID is a UUID of version 7 in canonical lower-case form.
func (id ID) Check() error {
	u, err := uuid.Parse(string(id))
	if err != nil || u.String() != string(id) {
		return Error.New("%q is not a UUID in canonical lower-case form", string(id))
	}
	if u.Version() != 7 {
		return Error.New("%q is a UUID of version %d, not 7", string(id), u.Version())
	}
	return nil
}

// Time returns the time contained in the ID, or the zero time when the ID is not valid.
func (id ID) Time() time.Time {
	u, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// Instant returns Time with the next 12 bits of the ID as a fraction of a millisecond, so that IDs of the same
// millisecond are ordered as by Before. It is the zero time when the ID is not valid.
func (id ID) Instant() time.Time {
	u, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}
	}
	fraction := time.Duration(u[6]&0x0f)<<8 | time.Duration(u[7])
	return id.Time().Truncate(time.Millisecond).Add(fraction * time.Millisecond >> 12)
}

// Shard maps the ID to one of n request shards, numbered from 0.
func (id ID) Shard(n int) int { return int(xxhash.Sum64String(string(id)) % uint64(n)) }

// Before reports whether id sorts before o: by time, then by the rest of the text.
func (id ID) Before(o ID) bool { return id < o }
