package ibisjournal

import (
	"context"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisincarnation"
	"ibiscrank/ibistable"
	"ibiscrank/ibiswork"
)

const (
	prefix   = "journal/"
	scanPage = 32 // rows, each of up to the largest batch
)

// Record is what the journal keeps of one request. A later record of the same Request replaces the
// earlier one; one with an empty Body makes the journal forget the request.
type Record struct {
	Request ibiswork.ID `json:"Request"`
	Shard   int         `json:"Shard"`
	Epoch   int64       `json:"Epoch,omitempty"` // of the shard when the record was made, see ibisshard.Row
	Seq     int64       `json:"Seq"`             // set by the journal, above zero
	Body    []byte      `json:"Body,omitempty"`
}

// recordOverhead is about what a record takes beside its body, in bytes.
const recordOverhead = 64

func (r Record) size() int { return len(r.Body) + recordOverhead }

// plain drops the methods of Record, so that decoding it does not recurse.
type plain Record

// UnmarshalCBOR decodes and checks a record.
func (r *Record) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*plain)(r)); err != nil {
		return Error.Wrap(err)
	}
	if r.Request == "" || r.Seq <= 0 || r.Shard < 0 {
		return Error.New("record of %q with number %d, shard %d", r.Request, r.Seq, r.Shard)
	}
	return nil
}

// batch is the value of one row. Number differs between all rows that a journal has written, so that a
// row tells which write it came from.
type batch struct {
	Number  int64    `json:"Number"`
	Records []Record `json:"Records,omitempty"`
}

func rowKey(incarnation string, slot int) string {
	return fmt.Sprintf("%s%s/%08d", prefix, incarnation, slot)
}

// Read returns the latest record of every request of a journal, in the order of Seq, without those that
// were forgotten. The incarnation is revoked or has ended, so that nothing is added while it is read; of
// a live journal, records that do not change meanwhile are read reliably.
func Read(ctx context.Context, t ibistable.Table, incarnation string) ([]Record, error) {
	latest := make(map[ibiswork.ID]Record)
	err := pages(ctx, t, incarnation, func(rows []ibistable.Row) error {
		for _, row := range rows {
			var b batch
			if err := cbor.Unmarshal(row.Value, &b); err != nil {
				return Error.Wrap(fmt.Errorf("%s: %w", row.Key, err))
			}
			for _, r := range b.Records {
				if r.Seq > latest[r.Request].Seq {
					latest[r.Request] = r
				}
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	records := make([]Record, 0, len(latest))
	for _, r := range latest {
		if len(r.Body) > 0 {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return int(a.Seq - b.Seq) })
	return records, nil
}

// Drop deletes the rows of a journal whose incarnation is revoked or has ended, one page a transaction.
// It is repeated after any error.
func Drop(ctx context.Context, t ibistable.Table, incarnation string) error {
	over, err := ibisincarnation.IsOver(ctx, t, incarnation)
	if err != nil {
		return classify(err)
	}
	if !over {
		return Error.New("the journal of %s is in use", incarnation)
	}
	return pages(ctx, t, incarnation, func(rows []ibistable.Row) error {
		writes := make([]ibistable.Write, len(rows))
		for i, row := range rows {
			writes[i] = ibistable.Delete(row.Key, ibistable.Any)
		}
		_, err := t.Commit(ctx, writes...)
		return classify(err)
	})
}

// pages calls f with the rows of a journal, some at a time.
func pages(ctx context.Context, t ibistable.Table, incarnation string, f func([]ibistable.Row) error) error {
	own := prefix + incarnation + "/"
	for from := own; ; {
		rows, err := t.Scan(ctx, from, ibistable.PrefixEnd(own), scanPage)
		if err != nil {
			return classify(err)
		}
		if len(rows) == 0 {
			return nil
		}
		if err := f(rows); err != nil {
			return err
		}
		if len(rows) < scanPage {
			return nil
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
}

// classify turns errors of the table into those of this package.
func classify(err error) error {
	switch {
	case err == nil:
		return nil
	case ibistable.Unavailable.Has(err), ibisincarnation.Unavailable.Has(err):
		return Unavailable.Wrap(err)
	case ibistable.Unknown.Has(err):
		return Unknown.Wrap(err)
	}
	return Error.Wrap(err)
}
