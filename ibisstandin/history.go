package ibisstandin

import (
	"ibiscrank/ibisserver"
	"ibiscrank/ibiswork"
)

// Event is what an entry of the history tells.
type Event string

// The events of a history.
const (
	Start Event = "Start"
	End   Event = "End"
)

// Lost is the final state, in a history only, of a task whose VM was lost.
const Lost ibisserver.State = "Lost"

// Entry is one start or end of a task. Clock is by the server's own clock in milliseconds, WallNS by the
// wall clock in nanoseconds. A task that ends by itself or by its lease ends at that very moment, however
// late the machine notices. Epoch is the highest that the server had seen.
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

// HistoryReply is a part of a history and where the next part begins.
type HistoryReply struct {
	Entries []Entry `json:"Entries"`
	Next    int     `json:"Next"`
}

// ServerStats counts what a backend server has seen. Peak is the largest amount of each resource that the
// running tasks declared together; Overcommitments counts the starts that took it above the capacity.
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
	Lapses          int64              `json:"Lapses"`
	Fenced          int64              `json:"Fenced"`
	Rejected        int64              `json:"Rejected"`
	Epoch           int64              `json:"Epoch"`
	Owner           string             `json:"Owner"`
	Records         int                `json:"Records"`
}

// Stats is the counts so far.
func (s *Server) Stats() ServerStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	st := s.stats
	st.Server, st.Capacity, st.Used = s.cfg.Name, s.cfg.Capacity, s.used
	st.Epoch, st.Owner, st.Records = s.epoch, s.owner, len(s.tasks)
	return st
}

// History is the starts and ends from the entry with the index after.
func (s *Server) History(after int) HistoryReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
	after = min(max(after, 0), len(s.history))
	return HistoryReply{Entries: append([]Entry{}, s.history[after:]...), Next: len(s.history)}
}

// note adds an entry for t at a moment of the server's own clock that is not after now.
func (s *Server) note(t *task, e Event, at, now int64) {
	s.history = append(s.history, Entry{
		Server:    s.cfg.Name,
		TaskID:    t.rec.Task.ID,
		Team:      t.rec.Task.Team,
		Class:     t.rec.Task.Class,
		Resources: t.rec.Task.Resources,
		Event:     e,
		State:     t.rec.State,
		Clock:     at,
		WallNS:    s.clk.Now().UnixNano() - (now-at)*nsPerMS,
		Epoch:     s.epoch,
	})
}
