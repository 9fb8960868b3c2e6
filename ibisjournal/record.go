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
	keyPrefix    = "journal/"
	scanPageRows = 32 // each row may be as large as the maximum batch
)

// Record is the journal's entry for one request. A later record of the same Request replaces the earlier one,
// and a record with an empty Body makes the journal forget the request.
type Record struct {
	Request ibiswork.ID `json:"Request"`
	Shard   int         `json:"Shard"`
	Epoch   int64       `json:"Epoch,omitempty"` // of the shard when the record was created, see ibisshard.Row
	Seq     int64       `json:"Seq"`             // set by the journal, above zero
	Body    []byte      `json:"Body,omitempty"`
}

// recordOverhead is the approximate size of a record without its body, in bytes.
const recordOverhead = 64

func (r Record) size() int { return len(r.Body) + recordOverhead }

// recordFields has the fields of Record but not its methods, so that decoding does not recurse.
type recordFields Record

// UnmarshalCBOR decodes and validates a record.
func (r *Record) UnmarshalCBOR(b []byte) error {
	if err := cbor.Unmarshal(b, (*recordFields)(r)); err != nil {
		return Error.Wrap(err)
	}
	if r.Request == "" || r.Seq <= 0 || r.Shard < 0 {
		return Error.New("invalid record of request %q: seq %d, shard %d; want a request ID, seq > 0 and shard >= 0", r.Request, r.Seq, r.Shard)
	}
	return nil
}

// batch is the value of one row. Number is unique among all rows that a journal has written, so that a row
// identifies the write that produced it.
type batch struct {
	Number  int64    `json:"Number"`
	Records []Record `json:"Records,omitempty"`
}

func rowKey(incarnation string, slot int) string {
	return fmt.Sprintf("%s%s/%08d", keyPrefix, incarnation, slot)
}

// Read returns the latest record of every request of a journal, in the order of Seq, except for forgotten
// requests. The incarnation should be revoked or ended, so that nothing is added during the read. Of a live
// journal, only records that do not change during the read are returned reliably.
func Read(ctx context.Context, t ibistable.Table, incarnation string) ([]Record, error) {
	latest := make(map[ibiswork.ID]Record)
	err := scanPages(ctx, t, incarnation, func(rows []ibistable.Row) error {
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

// Drop deletes the rows of a journal whose incarnation is revoked or has ended, in one transaction per page.
// The caller repeats it after any error.
func Drop(ctx context.Context, t ibistable.Table, incarnation string) error {
	over, err := ibisincarnation.IsOver(ctx, t, incarnation)
	if err != nil {
		return classifyError(err)
	}
	if !over {
		return Error.New("journal of incarnation %s is in use: the incarnation is live", incarnation)
	}
	return scanPages(ctx, t, incarnation, func(rows []ibistable.Row) error {
		writes := make([]ibistable.Write, len(rows))
		for i, row := range rows {
			writes[i] = ibistable.Delete(row.Key, ibistable.Any)
		}
		_, err := t.Commit(ctx, writes...)
		return classifyError(err)
	})
}

// scanPages calls f with each page of rows of a journal.
func scanPages(ctx context.Context, t ibistable.Table, incarnation string, f func([]ibistable.Row) error) error {
	journalPrefix := keyPrefix + incarnation + "/"
	for from := journalPrefix; ; {
		rows, err := t.Scan(ctx, from, ibistable.PrefixEnd(journalPrefix), scanPageRows)
		if err != nil {
			return classifyError(err)
		}
		if len(rows) == 0 {
			return nil
		}
		if err := f(rows); err != nil {
			return err
		}
		if len(rows) < scanPageRows {
			return nil
		}
		from = rows[len(rows)-1].Key + "\x00"
	}
}

// classifyError converts errors of the table and of incarnations to the classes of this package.
func classifyError(err error) error {
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
