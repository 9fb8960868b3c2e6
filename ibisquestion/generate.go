package ibisquestion

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"ibiscrank/ibisconfig"
	"ibiscrank/ibissettings"
	"ibiscrank/ibiswork"
)

// Conversion factors from the units of the answers to those of the settings.
const (
	milliPerCore = 1000
	mibPerGiB    = 1024
	msPerSecond  = 1000
	msPerMinute  = 60 * msPerSecond
)

// Generated is the configuration generated from the answers. Settings is nil if no daemon settings were
// requested.
type Generated struct {
	Team     ibisconfig.Team        `json:"Team"`
	Settings *ibissettings.Settings `json:"Settings,omitempty"`
}

// setters store an answer, as text and as a number, in the setting named by Question.Sets.
var setters = map[string]func(g *Generated, text string, n float64){
	"Team.Name":              func(g *Generated, text string, _ float64) { g.Team.Name = text },
	"Team.Queue":             func(g *Generated, text string, _ float64) { g.Team.Queue = text == "yes" },
	"Team.Share":             func(g *Generated, _ string, n float64) { g.Team.Share = n },
	"Limit.Cores":            func(g *Generated, _ string, n float64) { g.Team.UpperLimit.MilliCPU = int64(n * milliPerCore) },
	"Limit.MemoryGB":         func(g *Generated, _ string, n float64) { g.Team.UpperLimit.MemoryMB = int64(n * mibPerGiB) },
	"Limit.Accelerators":     func(g *Generated, _ string, n float64) { g.Team.UpperLimit.Accelerators = int64(n) },
	"Limit.Slots":            func(g *Generated, _ string, n float64) { g.Team.UpperLimit.Slots = int64(n) },
	"Daemon.Address":         func(g *Generated, text string, _ float64) { g.settings().Listen = text },
	"Daemon.Port":            func(g *Generated, _ string, n float64) { g.settings().listenOn(int(n)) },
	"Daemon.FailureDomain":   func(g *Generated, text string, _ float64) { g.settings().FailureDomain = text },
	"Daemon.Table":           func(g *Generated, text string, _ float64) { g.settings().Table = text },
	"Daemon.VMList":          func(g *Generated, text string, _ float64) { g.settings().VMList = text },
	"Daemon.OperatorKeyHash": func(g *Generated, text string, _ float64) { g.settings().OperatorKeyHash = text },
}

// daemonSettings adds setters that the questions need.
type daemonSettings struct{ *ibissettings.Settings }

// settings returns the daemon settings, which it creates at the first use.
func (g *Generated) settings() daemonSettings {
	if g.Settings == nil {
		g.Settings = new(ibissettings.Settings)
	}
	return daemonSettings{g.Settings}
}

// listenOn sets port as the listen port for callers and the next port for other daemons. Listen must hold the
// bare address, from the question Address, which precedes Port.
func (s daemonSettings) listenOn(port int) {
	address := s.Listen
	s.Listen = net.JoinHostPort(address, strconv.Itoa(port))
	s.PeerListen = net.JoinHostPort(address, strconv.Itoa(port+1))
}

// objectiveFields store a number in a field of an objective. Question.Sets has the form
// Objective.<class>.<field>.
var objectiveFields = map[string]func(o *ibisconfig.Objective, n float64){
	"Seconds": func(o *ibisconfig.Objective, n float64) { o.TargetMS = int64(n * msPerSecond) },
	"Minutes": func(o *ibisconfig.Objective, n float64) { o.TargetMS = int64(n * msPerMinute) },
	"Percent": func(o *ibisconfig.Objective, n float64) { o.Goal = n / 100 },
}

// Generate builds the configuration from answers returned by Ask or Complete and validates the result.
func (s Questionnaire) Generate(answers Answers) (Generated, error) {
	var g Generated
	for _, q := range s.Questions {
		text, ok := answers[q.Name]
		if !ok || q.Sets == "" {
			continue
		}
		n := 0.0
		if q.Kind == Number {
			parsed, err := strconv.ParseFloat(text, 64)
			if err != nil {
				return g, Error.New("%s: %v", q.Name, err)
			}
			n = parsed
		}
		if err := g.set(q.Sets, text, n); err != nil {
			return g, err
		}
	}
	return g, g.check()
}

// set stores an answer in the setting of that name.
func (g *Generated) set(name, text string, n float64) error {
	if set, ok := setters[name]; ok {
		set(g, text, n)
		return nil
	}
	parts := strings.Split(name, ".")
	if len(parts) == 3 && parts[0] == "Objective" && ibiswork.Class(parts[1]).Valid() {
		if set, ok := objectiveFields[parts[2]]; ok {
			set(g.objective(ibiswork.Class(parts[1])), n)
			return nil
		}
	}
	return Error.New("unknown setting %q", name)
}

// objective returns the team's objective for a class, which it adds if the team has none.
func (g *Generated) objective(class ibiswork.Class) *ibisconfig.Objective {
	sameClass := func(o ibisconfig.Objective) bool { return o.Class == class }
	i := slices.IndexFunc(g.Team.Objectives, sameClass)
	if i < 0 {
		i = len(g.Team.Objectives)
		g.Team.Objectives = append(g.Team.Objectives, ibisconfig.Objective{Class: class})
	}
	return &g.Team.Objectives[i]
}

func (g *Generated) check() error {
	if err := g.Team.Check(); err != nil {
		return Error.Wrap(err)
	}
	if g.Settings == nil {
		return nil
	}
	return Error.Wrap(g.Settings.WithDefaults().Check())
}

// Change returns the change that creates the team. It is refused if a team of that name exists.
func (g Generated) Change(id, operator string) ibisconfig.Change {
	t := g.Team
	return ibisconfig.Change{ID: id, Operator: operator, PutTeam: &t}
}
