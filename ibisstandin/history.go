package ibisstandin

import (
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// Event is the kind of a history entry.
type Event string

// The kinds of history entries.
const (
	Start Event = "Start"
	End   Event = "End"
)

// Lost is the final state of a task whose VM was lost. It occurs only in histories.
const Lost ibisserver.State = "Lost"

// Entry records the start or end of a task. Clock is the server's own clock in milliseconds, WallNS the wall clock
// in nanoseconds. If a task completes or its lease expires, both are the exact time of that event, even if the server
// processes it later. Epoch is the highest that the server had seen when it recorded the entry.
type Entry struct {
	Server    string             `json:"Server"`
	TaskID    ibisserver.TaskID  `json:"TaskID"`
	Team      string             `json:"Team"`
	Class     ibiswork.Class     `json:"Class"`
	Resources ibiswork.Resources `json:"Resources"`
	Event     Event              `json:"Event"`
	State     ibisserver.State   `json:"State"`
	Clock     int64              `json:"Clock"`
	WallNS    int64              `json:"WallNS"`
	Epoch     int64              `json:"Epoch"`
}

// HistoryReply is a part of a history. Next is the index of the entry after the last one returned.
type HistoryReply struct {
	Entries []Entry `json:"Entries"`
	Next    int     `json:"Next"`
}

// ServerStats holds the counters and the current state of a backend server. Used is the sum of the resources that
// the running tasks declared, and Peak its highest value for each resource. Overcommitments counts the starts that
// took Used above Capacity, DuplicateStarts the starts of tasks that were on record already, Expirations the tasks
// whose lease expired, Fenced the refused calls of stale owners, and Rejected the other refused calls, except those
// whose body is not valid JSON. The counters and Peak cover all incarnations of the server.
type ServerStats struct {
	Server          string             `json:"Server"`
	Capacity        ibiswork.Resources `json:"Capacity"`
	Used            ibiswork.Resources `json:"Used"`
	Peak            ibiswork.Resources `json:"Peak"`
	Overcommitments int64              `json:"Overcommitments"`
	Running         int                `json:"Running"`
	Starts          int64              `json:"Starts"`
	DuplicateStarts int64              `json:"DuplicateStarts"`
	Ends            int64              `json:"Ends"`
	Expirations     int64              `json:"Lapses"`
	Fenced          int64              `json:"Fenced"`
	Rejected        int64              `json:"Rejected"`
	Epoch           int64              `json:"Epoch"`
	Owner           string             `json:"Owner"`
	Records         int                `json:"Records"`
}

// Stats returns the counters and the current state.
func (s *Server) Stats() ServerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	st := s.stats
	st.Server, st.Capacity, st.Used = s.cfg.Name, s.cfg.Capacity, s.used
	st.Epoch, st.Owner, st.Records = s.epoch, s.owner, len(s.tasks)
	return st
}

// History returns the entries from index after on.
func (s *Server) History(after int) HistoryReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	after = min(max(after, 0), len(s.history))
	return HistoryReply{Entries: append([]Entry{}, s.history[after:]...), Next: len(s.history)}
}

// appendHistory records an event of t. Both eventAt and now are readings of the server's own clock, and eventAt is
// not after now.
func (s *Server) appendHistory(t *task, event Event, eventAt, now int64) {
	s.history = append(s.history, Entry{
		Server:    s.cfg.Name,
		TaskID:    t.rec.Task.ID,
		Team:      t.rec.Task.Team,
		Class:     t.rec.Task.Class,
		Resources: t.rec.Task.Resources,
		Event:     event,
		State:     t.rec.State,
		Clock:     eventAt,
		WallNS:    s.clk.Now().UnixNano() - (now-eventAt)*nsPerMS,
		Epoch:     s.epoch,
	})
}
