package ibisjournal

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibistablefake"
	"ibiscrank/ibiswork"
)

// model holds the bodies that Read may return for each request: the last one whose Append returned nil, or one
// of the later ones whose outcome is unknown to the caller.
type model struct {
	acked map[ibiswork.ID]string
	maybe map[ibiswork.ID][]string
}

func (m *model) append(r Record, err error) bool {
	switch {
	case err == nil:
		m.acked[r.Request], m.maybe[r.Request] = string(r.Body), nil
	case Unknown.Has(err):
		m.maybe[r.Request] = append(m.maybe[r.Request], string(r.Body))
	default:
		return Unavailable.Has(err)
	}
	return true
}

func (m *model) check(t *rapid.T, records []Record) {
	got := make(map[ibiswork.ID]string)
	for _, r := range records {
		got[r.Request] = string(r.Body)
		if _, ok := m.acked[r.Request]; !ok && len(m.maybe[r.Request]) == 0 {
			t.Fatalf("record of %s was read but never appended", r.Request)
		}
	}
	for id, maybe := range m.maybe {
		if _, ok := m.acked[id]; !ok {
			m.acked[id] = ""
		}
		if got[id] != m.acked[id] && !slices.Contains(maybe, got[id]) {
			t.Fatalf("record of %s is %q, want %q or one of %q", id, got[id], m.acked[id], maybe)
		}
	}
	for id, body := range m.acked {
		if len(m.maybe[id]) == 0 && got[id] != body {
			t.Fatalf("record of %s is %q, want %q", id, got[id], body)
		}
	}
}

// TestReadAfterCrash guards against lost or resurrected records: it appends under lost replies, late writes and
// outages, stops the writer at any point, and compares the records that Read then returns with the results of
// Append.
func TestReadAfterCrash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		table := ibistablefake.New()
		j, stop := openJournal(t, table, WithMaxBatchBytes(rapid.IntRange(80, 600).Draw(t, "batch")))
		defer stop()
		j.ring.minRows = rapid.IntRange(1, 4).Draw(t, "rows")
		m := &model{acked: make(map[ibiswork.ID]string), maybe: make(map[ibiswork.ID][]string)}
		fault := rapid.SampledFrom([]ibistablefake.Fault{
			ibistablefake.None, ibistablefake.Refused, ibistablefake.LostRequest, ibistablefake.LostReply,
			ibistablefake.Late, ibistablefake.Contended,
		})
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			actx, cancel := context.WithCancel(ctx)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				table.Inject(rapid.SliceOfN(fault, 1, 3).Draw(t, "faults")...)
			case 1:
				table.ApplyLate()
			case 2: // the caller cancels during the write, which may also meet a fault
				f := fault.Draw(t, "last")
				table.Hook(func([]ibistable.Write) ibistablefake.Fault {
					table.Hook(nil)
					cancel()
					return f
				})
			case 3:
				table.SetDown(true)
			case 4:
				table.SetDown(false)
			}
			r := record(rapid.IntRange(0, 9).Draw(t, "request"), fmt.Sprintf("body %d %0*d", i, rapid.IntRange(1, 90).Draw(t, "size"), 0))
			if rapid.IntRange(0, 2).Draw(t, "forget") == 0 {
				r.Body = nil
			}
			if err := j.Append(actx, r); !m.append(r, err) {
				t.Fatalf("%v", err)
			}
			cancel()
		}
		stop()
		table.ClearFaults()
		if err := ibisincarnation.Revoke(ctx, table, "i-1", "test"); err != nil {
			t.Fatalf("%v", err)
		}
		table.ApplyLate()
		records, err := Read(ctx, table, "i-1")
		if err != nil {
			t.Fatalf("%v", err)
		}
		m.check(t, records)
	})
}

func FuzzRead(f *testing.F) {
	value, err := cbor.Marshal(batch{Number: 1, Records: []Record{{Request: "r-1", Seq: 1, Body: []byte("a")}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Fuzz(func(t *testing.T, b []byte) {
		table := ibistablefake.New()
		if _, err := table.Commit(context.Background(), ibistable.Put(rowKey("i-1", 0), ibistable.Absent, append([]byte{}, b...))); err != nil {
			t.Fatal(err)
		}
		records, err := Read(context.Background(), table, "i-1")
		for _, r := range records {
			if err != nil || r.Request == "" || r.Seq <= 0 || len(r.Body) == 0 {
				t.Fatalf("%+v, %v", r, err)
			}
		}
	})
}
