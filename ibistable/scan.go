package ibistable

import (
	"context"
	"iter"
)

// ScanPrefix iterates over the rows whose keys begin with prefix, in order of their keys. It reads pageSize
// rows (at least 1) per call of Scan. On an error of Scan it yields that error unchanged and stops.
func ScanPrefix(ctx context.Context, t Table, prefix string, pageSize int) iter.Seq2[Row, error] {
	return func(yield func(Row, error) bool) {
		for from := prefix; ; {
			rows, err := t.Scan(ctx, from, PrefixEnd(prefix), pageSize)
			if err != nil {
				yield(Row{}, err)
				return
			}
			for _, row := range rows {
				if !yield(row, nil) {
					return
				}
			}
			if len(rows) < pageSize {
				return
			}
			from = rows[len(rows)-1].Key + "\x00" // the smallest key after the last one
		}
	}
}
