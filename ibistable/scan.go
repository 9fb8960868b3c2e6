package ibistable

import (
	"context"
	"iter"
)

// ScanPrefix reads every row whose key begins with prefix, in order of the keys and page rows a call. It
// ends after the first error, which is as it came from Scan.
func ScanPrefix(ctx context.Context, t Table, prefix string, page int) iter.Seq2[Row, error] {
	return func(yield func(Row, error) bool) {
		for from := prefix; ; {
			rows, err := t.Scan(ctx, from, PrefixEnd(prefix), page)
			if err != nil {
				yield(Row{}, err)
				return
			}
			for _, row := range rows {
				if !yield(row, nil) {
					return
				}
			}
			if len(rows) < page {
				return
			}
			from = rows[len(rows)-1].Key + "\x00"
		}
	}
}
