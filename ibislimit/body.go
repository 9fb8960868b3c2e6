package ibislimit

import (
	"errors"
	"io"

	"golang.org/x/sync/semaphore"
)

// The reasons for which a body is refused.
var (
	ErrTooLarge = errors.New("the body is longer than allowed")
	ErrNoMemory = errors.New("the bodies that are being read take all memory that they may")
)

// smallBody is the size in bytes up to which a body is read without counting: as many connections as there may be can
// hold that much.
const smallBody = 8 << 10

// Budget bounds the memory for bodies that are being read.
type Budget struct {
	bytes *semaphore.Weighted
	size  int64
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{bytes: semaphore.NewWeighted(size), size: size}
}

// Size returns the size of the budget in bytes.
func (b *Budget) Size() int64 { return b.size }

// ReadBody reads a body of at most limit bytes from r. It holds memory only for what has arrived, not for the announced
// size, which is negative if there is none. The error is ErrTooLarge, ErrNoMemory or that of r. The caller must call
// release, which is never nil, when it needs the body no longer.
func (b *Budget) ReadBody(r io.Reader, announced, limit int) (body []byte, release func(), err error) {
	if announced > limit {
		return nil, func() {}, ErrTooLarge
	}
	first := min(smallBody, limit+1)
	if announced >= 0 {
		first = min(first, announced+1)
	}
	buf, charged := make([]byte, 0, first), int64(0)
	fail := func(err error) ([]byte, func(), error) {
		b.bytes.Release(charged)
		return nil, func() {}, err
	}
	for {
		if len(buf) == cap(buf) {
			if len(buf) > limit {
				return fail(ErrTooLarge)
			}
			n := min(2*cap(buf), limit+1)
			if !b.bytes.TryAcquire(int64(n)) {
				return fail(ErrNoMemory)
			}
			buf = append(make([]byte, 0, n), buf...)
			b.bytes.Release(charged)
			charged = int64(n)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == nil:
		case !errors.Is(err, io.EOF):
			return fail(err)
		case len(buf) > limit:
			return fail(ErrTooLarge)
		default:
			return buf, func() { b.bytes.Release(charged) }, nil
		}
	}
}
