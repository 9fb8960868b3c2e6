package ibiscell

import (
	"github.com/apex/log"
)

const (
	paceRowKey        = "cell"
	paceRowMS         = 4_000 // between rows of paces
	paceRowBytesPerMS = 4     // a larger row is written more rarely, so that it takes little of a slow link
)

// addPaces adds the paces to the batch, if they differ and the last row is old enough.
func (e *Engine) addPaces(b *Batch) {
	p := &e.paces
	if !p.learned || e.now < p.nextRow || p.spread < unusedSpread || len(b.Puts)+len(b.Removes) >= MaxBatchRows {
		return
	}
	p.learned = false
	row := Row{Table: TablePaces, Key: paceRowKey, Value: p.learner.Encode(e.now, e.unixOffset+e.now)}
	p.nextRow = e.now + paceRowMS + int64(len(row.Value)/paceRowBytesPerMS)
	b.Puts = append(b.Puts, row)
}

// recoverPaces reads what a previous leader has learned. Without it, paces are learned anew.
func (e *Engine) recoverPaces(rows []Row) {
	for _, row := range rows {
		servers, err := e.paces.learner.Decode(e.now, e.unixOffset+e.now, row.Value)
		if err != nil {
			e.log.WithFields(log.Fields{"Table": row.Table, "Key": row.Key}).WithError(err).Warn("PacesIgnored")
			continue
		}
		e.log.WithField("Servers", servers).Info("PacesRecovered")
	}
}
