package ibiswork

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ID identifies a request. It is a UUID of version 7, so it carries the time at which it was made.
type ID string

// NewID makes an ID that carries the present time.
func NewID() ID { return ID(uuid.Must(uuid.NewV7()).String()) }

// Check reports an ID that is not a UUID of version 7 in its usual lower-case form.
func (id ID) Check() error {
	u, err := uuid.Parse(string(id))
	if err != nil || u.String() != string(id) {
		return Error.New("%q is not a UUID in its usual form", string(id))
	}
	if u.Version() != 7 {
		return Error.New("%q is a UUID of version %d, not 7", string(id), u.Version())
	}
	return nil
}

// Time is the moment that the ID carries, or the zero time when the ID is not valid.
func (id ID) Time() time.Time {
	u, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// Instant is Time made finer by the next 12 bits of the ID, so that it orders IDs of one millisecond as
// Before does.
func (id ID) Instant() time.Time {
	u, err := uuid.Parse(string(id))
	if err != nil {
		return time.Time{}
	}
	fine := time.Duration(u[6]&0x0f)<<8 | time.Duration(u[7])
	return id.Time().Truncate(time.Millisecond).Add(fine * time.Millisecond >> 12)
}

// Shard maps the ID to one of n shards.
func (id ID) Shard(n int) int { return int(xxhash.Sum64String(string(id)) % uint64(n)) }

// Before orders IDs by their time, then by their text.
func (id ID) Before(o ID) bool { return id < o }
