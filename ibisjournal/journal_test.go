package ibisjournal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

// open starts a journal of a registered incarnation that writes without pauses.
func open(tb fataler, table *ibistablefake.Table, opts ...Option) (*Journal, func()) {
	inc, err := ibisincarnation.Register(context.Background(), table, ibisincarnation.Row{ID: "i-1"})
	if err != nil {
		tb.Fatalf("%v", err)
	}
	opts = append([]Option{
		WithInterval(func() time.Duration { return 0 }),
		WithPauses(50*time.Microsecond, 200*time.Microsecond),
	}, opts...)
	return Open(table, inc.Fence(), inc.ID(), opts...)
}

type fataler interface{ Fatalf(string, ...any) }

func record(request int, body string) Record {
	return Record{Request: ibiswork.ID(fmt.Sprintf("r-%d", request)), Shard: request, Body: []byte(body)}
}

func bodies(tb testing.TB, table *ibistablefake.Table) map[string]string {
	records, err := Read(context.Background(), table, "i-1")
	assert.NilError(tb, err)
	m := make(map[string]string)
	for i, r := range records {
		m[string(r.Request)] = string(r.Body)
		assert.Assert(tb, i == 0 || records[i-1].Seq < r.Seq)
	}
	return m
}

// bound ends a test whose awaited event never comes.
func bound(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func TestAppendsThatWaitShareOneRow(t *testing.T) {
	table := ibistablefake.New()
	j, stop := open(t, table)
	defer stop()
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		once.Do(func() { close(started); <-release })
		return ibistablefake.None
	})
	errs := make(chan error)
	go func() { errs <- j.Append(bound(t), record(0, "first")) }()
	<-started
	const n = 100
	for i := 1; i <= n; i++ {
		go func() { errs <- j.Append(bound(t), record(i, "x")) }()
	}
	for j.Stats().Waiting < n {
		assert.NilError(t, bound(t).Err())
	}
	close(release)
	for range n + 1 {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, j.Stats().Writes, int64(2))
	assert.Equal(t, len(bodies(t, table)), n+1)
}

func TestIntervalBoundsWrites(t *testing.T) {
	const interval = 20 * time.Millisecond
	table := ibistablefake.New()
	j, stop := open(t, table, WithInterval(func() time.Duration { return interval }))
	defer stop()
	begin := time.Now()
	for i := range 10 {
		assert.NilError(t, j.Append(bound(t), record(i, "x")))
	}
	assert.Assert(t, time.Since(begin) >= 9*interval, "ten writes start at least nine intervals apart")
}

func TestSpaceIsBounded(t *testing.T) {
	for _, c := range []struct {
		name              string
		kept, size, every int // live records of size bytes each; a short one is kept for the last every
		limit             int
	}{
		{"nothing kept", 0, 10, 1, 4096},
		{"some kept for long", 50, 100, 7, 4096},
		{"kept ones fill rows", 200, 2000, 3, 4096},
		{"kept ones larger than a batch", 20, 9000, 5, 4096},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := ibistablefake.New()
			j, stop := open(t, table, WithMaxBatchBytes(c.limit))
			defer stop()
			j.ring.least = 8
			want := make(map[string]string)
			for i := range c.kept {
				r := record(-1-i, fmt.Sprintf("%0*d", c.size, i))
				r.Shard = 0
				assert.NilError(t, j.Append(bound(t), r, record(1_000_000+i, "short")))
				want[string(r.Request)] = string(r.Body)
			}
			rows := 0
			for i := range 3000 {
				assert.NilError(t, j.Append(bound(t), record(i, "short")))
				if i >= c.every {
					assert.NilError(t, j.Append(bound(t), record(i-c.every, "")))
				}
				if i < c.kept {
					assert.NilError(t, j.Append(bound(t), record(1_000_000+i, "")))
				}
				if i == 1500 {
					rows = j.Stats().Rows
				}
			}
			s := j.Stats()
			assert.Equal(t, s.Rows, rows, "no growth in the steady state")
			assert.Assert(t, s.Rows <= 2*(8+s.LiveBytes/rowLiveFor)+2*c.kept*c.size/c.limit, "%+v", s)
			assert.Assert(t, s.RowBytes <= 3*s.LiveBytes+s.Rows*c.limit, "%+v", s)
			assert.Equal(t, table.Len(), s.Rows+1, "and the row of the incarnation")
			got := bodies(t, table)
			assert.Equal(t, len(got), c.kept+c.every)
			for id, body := range want {
				assert.Equal(t, got[id], body)
			}
		})
	}
}

func TestAwayFailsAtOnceAndComesBack(t *testing.T) {
	table := ibistablefake.New()
	j, stop := open(t, table)
	defer stop()
	table.SetDown(true)
	assert.Assert(t, Unavailable.Has(j.Append(bound(t), record(1, "a"))))
	assert.Assert(t, !j.Healthy())
	assert.Assert(t, Unavailable.Has(j.Append(bound(t), record(2, "b"))))
	table.SetDown(false)
	for !j.Healthy() {
		assert.NilError(t, bound(t).Err())
	}
	assert.NilError(t, j.Append(bound(t), record(3, "c")))
	assert.DeepEqual(t, bodies(t, table), map[string]string{"r-3": "c"})
}

func TestLostRepliesAreSettled(t *testing.T) {
	for _, fault := range []ibistablefake.Fault{ibistablefake.LostReply, ibistablefake.LostRequest, ibistablefake.Late, ibistablefake.Contended} {
		table := ibistablefake.New()
		j, stop := open(t, table)
		for i := range 20 {
			table.Inject(fault, fault)
			assert.NilError(t, j.Append(bound(t), record(i%3, fmt.Sprint(i))))
			table.ApplyLate()
		}
		stop()
		assert.DeepEqual(t, bodies(t, table), map[string]string{"r-0": "18", "r-1": "19", "r-2": "17"})
	}
}

func TestRevocationIsFinal(t *testing.T) {
	table := ibistablefake.New()
	j, stop := open(t, table)
	defer stop()
	ctx := bound(t)
	j.ring.least = 1 // so that the second write overwrites the row of the first
	assert.NilError(t, j.Append(ctx, record(1, "a")))
	assert.ErrorContains(t, Drop(ctx, table, "i-1"), "in use")
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		table.Hook(nil)
		assert.NilError(t, ibisincarnation.Revoke(ctx, table, "i-1", "test"))
		return ibistablefake.Late
	})
	err := j.Append(ctx, record(1, "b"))
	assert.Assert(t, Fenced.Has(err) && !Unknown.Has(err), "the row is as before, so nothing was written: %v", err)
	err = j.Append(ctx, record(2, "c"))
	assert.Assert(t, Fenced.Has(err))
	table.ApplyLate()
	assert.DeepEqual(t, bodies(t, table), map[string]string{"r-1": "a"})
	assert.NilError(t, Drop(ctx, table, "i-1"))
	assert.Equal(t, len(bodies(t, table)), 0)
}

func TestRevokedAfterLostReplySaysUnknown(t *testing.T) {
	table := ibistablefake.New()
	j, stop := open(t, table)
	defer stop()
	ctx := bound(t)
	table.Inject(ibistablefake.LostReply)
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		table.Hook(nil)
		assert.NilError(t, ibisincarnation.Revoke(ctx, table, "i-1", "test"))
		assert.NilError(t, Drop(ctx, table, "i-1"))
		return ibistablefake.None
	})
	err := j.Append(ctx, record(1, "a"))
	assert.Assert(t, Fenced.Has(err) && Unknown.Has(err), "%v", err)
}

func TestFullQueueRefuses(t *testing.T) {
	table := ibistablefake.New()
	j, stop := open(t, table, WithMaxWaiting(1))
	defer stop()
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		once.Do(func() { close(started); <-release })
		return ibistablefake.None
	})
	errs := make(chan error)
	go func() { errs <- j.Append(bound(t), record(1, "a")) }()
	<-started
	gone, cancel := context.WithCancel(bound(t))
	go func() { errs <- j.Append(gone, record(2, "b")) }()
	for j.Stats().Waiting < 1 {
		assert.NilError(t, bound(t).Err())
	}
	err := j.Append(bound(t), record(3, "c"))
	assert.Assert(t, Unavailable.Has(err) && Full.Has(err), "%v", err)
	cancel()
	err = <-errs
	assert.Assert(t, Unavailable.Has(err), "withdrawn before it was in a write: %v", err)
	close(release)
	assert.NilError(t, <-errs)
	assert.DeepEqual(t, bodies(t, table), map[string]string{"r-1": "a"})
}
