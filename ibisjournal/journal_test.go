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

// openJournal opens the journal of a registered incarnation with no write interval and a short backoff.
func openJournal(tb fataler, table *ibistablefake.Table, opts ...Option) (*Journal, func()) {
	inc, err := ibisincarnation.Register(context.Background(), table, ibisincarnation.Row{ID: "i-1"})
	if err != nil {
		tb.Fatalf("%v", err)
	}
	opts = append([]Option{
		WithInterval(func() time.Duration { return 0 }),
		WithBackoff(50*time.Microsecond, 200*time.Microsecond),
	}, opts...)
	return Open(table, inc.Fence(), inc.ID(), opts...)
}

type fataler interface{ Fatalf(string, ...any) }

func record(request int, body string) Record {
	return Record{Request: ibiswork.ID(fmt.Sprintf("r-%d", request)), Shard: request, Body: []byte(body)}
}

func readBodies(tb testing.TB, table *ibistablefake.Table) map[string]string {
	records, err := Read(context.Background(), table, "i-1")
	assert.NilError(tb, err)
	m := make(map[string]string)
	for i, r := range records {
		m[string(r.Request)] = string(r.Body)
		assert.Assert(tb, i == 0 || records[i-1].Seq < r.Seq)
	}
	return m
}

// testContext returns a context that expires after a minute, to end a test whose awaited event never occurs.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

func TestQueuedAppendsShareOneRow(t *testing.T) {
	table := ibistablefake.New()
	j, stop := openJournal(t, table)
	defer stop()
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		once.Do(func() { close(started); <-release })
		return ibistablefake.None
	})
	errs := make(chan error)
	go func() { errs <- j.Append(testContext(t), record(0, "first")) }()
	<-started
	const n = 100
	for i := 1; i <= n; i++ {
		go func() { errs <- j.Append(testContext(t), record(i, "x")) }()
	}
	for j.Stats().Waiting < n {
		assert.NilError(t, testContext(t).Err())
	}
	close(release)
	for range n + 1 {
		assert.NilError(t, <-errs)
	}
	assert.Equal(t, j.Stats().Writes, int64(2))
	assert.Equal(t, len(readBodies(t, table)), n+1)
}

func TestIntervalLimitsWriteRate(t *testing.T) {
	const interval = 20 * time.Millisecond
	table := ibistablefake.New()
	j, stop := openJournal(t, table, WithInterval(func() time.Duration { return interval }))
	defer stop()
	begin := time.Now()
	for i := range 10 {
		assert.NilError(t, j.Append(testContext(t), record(i, "x")))
	}
	assert.Assert(t, time.Since(begin) >= 9*interval, "the starts of ten writes span at least nine intervals")
}

func TestSpaceIsBounded(t *testing.T) {
	for _, c := range []struct {
		name              string
		kept, size, every int // records of size bytes that stay live, and steps for which a short record stays live
		limit             int // maximum batch size in bytes
	}{
		{"nothing kept", 0, 10, 1, 4096},
		{"some kept for long", 50, 100, 7, 4096},
		{"kept ones fill rows", 200, 2000, 3, 4096},
		{"kept ones larger than a batch", 20, 9000, 5, 4096},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := ibistablefake.New()
			j, stop := openJournal(t, table, WithMaxBatchBytes(c.limit))
			defer stop()
			j.ring.minRows = 8
			want := make(map[string]string)
			for i := range c.kept {
				r := record(-1-i, fmt.Sprintf("%0*d", c.size, i))
				r.Shard = 0
				assert.NilError(t, j.Append(testContext(t), r, record(1_000_000+i, "short")))
				want[string(r.Request)] = string(r.Body)
			}
			rows := 0
			for i := range 3000 {
				assert.NilError(t, j.Append(testContext(t), record(i, "short")))
				if i >= c.every {
					assert.NilError(t, j.Append(testContext(t), record(i-c.every, "")))
				}
				if i < c.kept {
					assert.NilError(t, j.Append(testContext(t), record(1_000_000+i, "")))
				}
				if i == 1500 {
					rows = j.Stats().Rows
				}
			}
			s := j.Stats()
			assert.Equal(t, s.Rows, rows, "the number of rows must not grow in the steady state")
			assert.Assert(t, s.Rows <= 2*(8+s.LiveBytes/liveBytesPerRow)+2*c.kept*c.size/c.limit, "%+v", s)
			assert.Assert(t, s.RowBytes <= 3*s.LiveBytes+s.Rows*c.limit, "%+v", s)
			assert.Equal(t, table.Len(), s.Rows+1, "the journal's rows and the incarnation's row")
			got := readBodies(t, table)
			assert.Equal(t, len(got), c.kept+c.every)
			for id, body := range want {
				assert.Equal(t, got[id], body)
			}
		})
	}
}

func TestUnavailableFailsFastAndRecovers(t *testing.T) {
	table := ibistablefake.New()
	j, stop := openJournal(t, table)
	defer stop()
	table.SetDown(true)
	assert.Assert(t, Unavailable.Has(j.Append(testContext(t), record(1, "a"))))
	assert.Assert(t, !j.Healthy())
	assert.Assert(t, Unavailable.Has(j.Append(testContext(t), record(2, "b"))))
	table.SetDown(false)
	for !j.Healthy() {
		assert.NilError(t, testContext(t).Err())
	}
	assert.NilError(t, j.Append(testContext(t), record(3, "c")))
	assert.DeepEqual(t, readBodies(t, table), map[string]string{"r-3": "c"})
}

func TestLostRepliesResolved(t *testing.T) {
	for _, fault := range []ibistablefake.Fault{ibistablefake.LostReply, ibistablefake.LostRequest, ibistablefake.Late, ibistablefake.Contended} {
		table := ibistablefake.New()
		j, stop := openJournal(t, table)
		for i := range 20 {
			table.Inject(fault, fault)
			assert.NilError(t, j.Append(testContext(t), record(i%3, fmt.Sprint(i))))
			table.ApplyLate()
		}
		stop()
		assert.DeepEqual(t, readBodies(t, table), map[string]string{"r-0": "18", "r-1": "19", "r-2": "17"})
	}
}

func TestRevocationIsFinal(t *testing.T) {
	table := ibistablefake.New()
	j, stop := openJournal(t, table)
	defer stop()
	ctx := testContext(t)
	j.ring.minRows = 1 // so that the second write overwrites the row of the first
	assert.NilError(t, j.Append(ctx, record(1, "a")))
	assert.ErrorContains(t, Drop(ctx, table, "i-1"), "in use")
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		table.Hook(nil)
		assert.NilError(t, ibisincarnation.Revoke(ctx, table, "i-1", "test"))
		return ibistablefake.Late
	})
	err := j.Append(ctx, record(1, "b"))
	assert.Assert(t, Fenced.Has(err) && !Unknown.Has(err), "the row is unchanged, so the outcome is known: %v", err)
	err = j.Append(ctx, record(2, "c"))
	assert.Assert(t, Fenced.Has(err))
	table.ApplyLate()
	assert.DeepEqual(t, readBodies(t, table), map[string]string{"r-1": "a"})
	assert.NilError(t, Drop(ctx, table, "i-1"))
	assert.Equal(t, len(readBodies(t, table)), 0)
}

func TestRevokedAfterLostReplyIsUnknown(t *testing.T) {
	table := ibistablefake.New()
	j, stop := openJournal(t, table)
	defer stop()
	ctx := testContext(t)
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

func TestFullQueueRejects(t *testing.T) {
	table := ibistablefake.New()
	j, stop := openJournal(t, table, WithMaxQueued(1))
	defer stop()
	started, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	table.Hook(func([]ibistable.Write) ibistablefake.Fault {
		once.Do(func() { close(started); <-release })
		return ibistablefake.None
	})
	errs := make(chan error)
	go func() { errs <- j.Append(testContext(t), record(1, "a")) }()
	<-started
	cancelled, cancel := context.WithCancel(testContext(t))
	go func() { errs <- j.Append(cancelled, record(2, "b")) }()
	for j.Stats().Waiting < 1 {
		assert.NilError(t, testContext(t).Err())
	}
	err := j.Append(testContext(t), record(3, "c"))
	assert.Assert(t, Unavailable.Has(err) && Full.Has(err), "%v", err)
	cancel()
	err = <-errs
	assert.Assert(t, Unavailable.Has(err), "dequeued before it was in a write: %v", err)
	close(release)
	assert.NilError(t, <-errs)
	assert.DeepEqual(t, readBodies(t, table), map[string]string{"r-1": "a"})
}
