package ibiscell

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"ibiscrank/ibisjob"
	"ibiscrank/ibiswork"
)

// settingsKind says whose settings are kept in the journal.
type settingsKind int

const (
	queueKind settingsKind = iota + 1
	teamKind
)

// settingsKey names a queue or a team.
type settingsKey struct {
	kind settingsKind
	name string
}

func (k settingsKey) compare(o settingsKey) int {
	return cmp.Or(cmp.Compare(k.kind, o.kind), cmp.Compare(k.name, o.name))
}

// settingsChange records the settings of a queue or a team that has accepted jobs. The last one in the order of the
// rows holds.
type settingsChange struct {
	_     struct{} `cbor:",toarray"`
	Kind  settingsKind
	Name  string
	Value []byte // queueSettings or teamSettings
}

// queueSettings is what the accepted jobs of a queue need of it.
type queueSettings struct {
	Service     string          `cbor:"1,keyasint,omitempty"`
	Priority    int             `cbor:"2,keyasint,omitempty"`
	MaxAttempts int             `cbor:"3,keyasint,omitempty"`
	SlackFactor float64         `cbor:"4,keyasint,omitempty"`
	ObjectiveMS int64           `cbor:"5,keyasint,omitempty"`
	Advice      *ibisjob.Advice `cbor:"6,keyasint,omitempty"`
}

// teamSettings is what the accepted jobs of a team need of it.
type teamSettings struct {
	Weight     float64            `cbor:"1,keyasint,omitempty"`
	UpperLimit ibiswork.Resources `cbor:"2,keyasint"`
}

// keptSettings tracks the settings of a queue or a team with jobs in the journal. They are in the journal as long as
// it has any, since the configuration that the next leader reads may not contain them.
type keptSettings struct {
	key     settingsKey
	jobs    int           // jobs in the journal that have not ended
	saved   []byte        // the value last written, a batch in flight included; nil: none
	row     *changeRowRef // that contains it; nil while the batch is being made, or without a value
	changed bool          // in journal.settings
}

const settingsChangeBytes = 16 // estimated size of a settingsChange without its name and value

// settingsOf returns the encoded settings of a queue or a team, or nil if no configuration has contained it.
func (e *Engine) settingsOf(key settingsKey) []byte {
	switch key.kind {
	case queueKind:
		if q, ok := e.queues[key.name]; ok {
			return encode(queueSettings{
				Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
				SlackFactor: q.SlackFactor, ObjectiveMS: q.ObjectiveMS, Advice: q.Advice,
			})
		}
	case teamKind:
		if t := e.teams[key.name]; t != nil && t.configured {
			return encode(teamSettings{Weight: t.weight, UpperLimit: t.limit})
		}
	}
	return nil
}

// restoreSettings applies the settings of a queue or a team that the configuration no longer contains.
func (e *Engine) restoreSettings(key settingsKey, value []byte) error {
	switch key.kind {
	case queueKind:
		var s queueSettings
		if err := cbor.Unmarshal(value, &s); err != nil {
			return err
		}
		e.queues[key.name] = ibisjob.Queue{
			Name: key.name, Service: s.Service, Priority: s.Priority, MaxAttempts: s.MaxAttempts,
			SlackFactor: s.SlackFactor, ObjectiveMS: s.ObjectiveMS, Advice: s.Advice,
		}
	case teamKind:
		var s teamSettings
		if err := cbor.Unmarshal(value, &s); err != nil {
			return err
		}
		t := e.team(key.name)
		t.weight, t.limit, t.configured = s.Weight, s.UpperLimit, true
	}
	return nil
}

// settingsKeys returns whose settings j needs.
func (j *job) settingsKeys() [2]settingsKey {
	return [...]settingsKey{{queueKind, j.spec.Queue}, {teamKind, j.spec.Team}}
}

// keepSettings records that j needs the settings of its queue and its team. It adds those that are not in the journal
// to the batch; w is nil if j has been recovered.
func (e *Engine) keepSettings(w *changeWriter, j *job) {
	j.keepsSettings = true
	for _, key := range j.settingsKeys() {
		k := e.kept[key]
		if k == nil {
			k = &keptSettings{key: key}
			e.kept[key] = k
		}
		k.jobs++
		if w != nil && k.saved == nil {
			e.addSettings(w, k)
		}
	}
}

// dropSettings records that j has ended. The settings that no other job needs go with the batch that is being made.
func (e *Engine) dropSettings(j *job) {
	if !j.keepsSettings {
		return
	}
	j.keepsSettings = false
	for _, key := range j.settingsKeys() {
		k := e.kept[key]
		if k.jobs--; k.jobs == 0 {
			e.releaseSettings(k)
			delete(e.kept, key)
		}
	}
}

// settingsChanged notes that the configuration may have changed the settings of a queue or a team.
func (e *Engine) settingsChanged(key settingsKey) {
	if k := e.kept[key]; k != nil && !k.changed && !bytes.Equal(k.saved, e.settingsOf(key)) {
		k.changed = true
		e.journal.settings = append(e.journal.settings, k)
	}
}

// addChangedSettings adds the settings that have changed, as far as the batch has space for them.
func (e *Engine) addChangedSettings(w *changeWriter) {
	list := e.journal.settings
	n := 0
	for ; n < len(list) && w.bytes <= maxBatchBytes; n++ {
		k := list[n]
		k.changed = false
		if k.jobs > 0 && !bytes.Equal(k.saved, e.settingsOf(k.key)) {
			e.addSettings(w, k)
		}
	}
	e.journal.settings = slices.Clone(list[n:])
}

// addSettings adds the settings of k, if there are any, to the batch. The row that contained them is released.
func (e *Engine) addSettings(w *changeWriter, k *keptSettings) {
	e.releaseSettings(k)
	if k.saved = e.settingsOf(k.key); k.saved != nil {
		w.addSettings(k)
	}
}

// releaseSettings records that the row with the settings of k is no longer needed for them.
func (e *Engine) releaseSettings(k *keptSettings) {
	if k.row != nil {
		e.releaseRow(k.row)
		k.row = nil
	}
}

// loggedSettings are settings found in the journal.
type loggedSettings struct {
	value []byte
	row   *changeRowRef
}

// recoverSettings applies the settings found in the journal that the records need and the configuration lacks.
func (e *Engine) recoverSettings(records map[ibisjob.ID]*jobRecord, logged map[settingsKey]loggedSettings) {
	missing := make(map[settingsKey]bool)
	for _, rec := range records {
		for _, key := range [...]settingsKey{{queueKind, rec.job.Queue}, {teamKind, rec.job.Team}} {
			if e.settingsOf(key) == nil {
				missing[key] = true
			}
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(missing), settingsKey.compare) {
		entry := e.log.WithField("Kind", key.kind.String()).WithField("Name", key.name)
		l, ok := logged[key]
		switch {
		case ok:
			if err := e.restoreSettings(key, l.value); err != nil {
				e.logUnreadable(Row{Table: l.row.table, Key: l.row.key}, err)
				continue
			}
			entry.WithField("Row", l.row.key).Info("SettingsRecovered")
		case key.kind == queueKind:
			entry.Warn("SettingsMissing") // its jobs wait until the configuration contains the queue again
		}
	}
}

// trackSettings makes the settings that the recovered jobs need depend on their rows. Those that the configuration
// has changed since, or that no row contains, are written.
func (e *Engine) trackSettings(logged map[settingsKey]loggedSettings) {
	for _, key := range slices.SortedFunc(maps.Keys(e.kept), settingsKey.compare) {
		if l, ok := logged[key]; ok && e.settingsOf(key) != nil {
			k := e.kept[key]
			k.saved, k.row = l.value, l.row
			l.row.addSettings(k)
		}
		e.settingsChanged(key)
	}
}

func (k settingsKind) String() string {
	if k == queueKind {
		return "Queue"
	}
	return "Team"
}
