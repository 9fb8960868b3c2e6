package ibisplace

import (
	"math"
	"slices"

	"ibiscrank/ibiswork"
)

// gangScratch is memory that decisions on gangs use again.
type gangScratch struct {
	racks []rackRoom
}

// rackRoom is how many tasks of a gang a rack can take.
type rackRoom struct {
	rack *rack
	room int // an upper bound, until exact
}

// PlaceGang chooses servers for n tasks at once or for none; a server may appear several times. It takes
// the rack with the least room that holds all tasks, else as few racks as it can of one failure domain,
// else as few racks as it can of all.
func (f *Fleet) PlaceGang(a Ask, n int) (names []string, ok bool) {
	if n <= 0 {
		return nil, false
	}
	rooms := f.rackRooms(&a)
	if r := tightest(rooms, &a, n); r != nil {
		return fill(nil, r, &a, n), true
	}
	for i := range rooms {
		rooms[i].room = rooms[i].rack.room(&a, n)
	}
	slices.SortStableFunc(rooms, func(x, y rackRoom) int { return y.room - x.room })
	if d := roomiest(rooms, n); d != nil {
		return fillFrom(rooms, d, &a, n), true
	}
	if total(rooms) < n {
		return nil, false
	}
	return fillFrom(rooms, nil, &a, n), true
}

// rackRooms is the racks that may hold at least one task, with an upper bound of their room.
func (f *Fleet) rackRooms(a *Ask) []rackRoom {
	rooms := f.scratch.racks[:0]
	for _, r := range f.racks {
		if room := times(a.Resources, r.free); room > 0 {
			rooms = append(rooms, rackRoom{r, room})
		}
	}
	f.scratch.racks = rooms
	return rooms
}

// tightest is the rack with the least room that holds n tasks.
func tightest(rooms []rackRoom, a *Ask, n int) *rack {
	var best *rack
	least := math.MaxInt
	for _, r := range rooms {
		if r.room < n || r.room >= least {
			continue
		}
		if r.rack.room(a, n) >= n {
			best, least = r.rack, r.room
		}
	}
	return best
}

// roomiest is the failure domain that holds n tasks in the fewest racks. Racks come with the most room
// first.
func roomiest(rooms []rackRoom, n int) *domain {
	sums := make(map[*domain]int)
	for _, r := range rooms {
		sums[r.rack.domain] += r.room
		if sums[r.rack.domain] >= n {
			return r.rack.domain
		}
	}
	return nil
}

func total(rooms []rackRoom) int {
	sum := 0
	for _, r := range rooms {
		sum += r.room
	}
	return sum
}

// fillFrom takes n servers from racks in order, of one failure domain unless d is nil.
func fillFrom(rooms []rackRoom, d *domain, a *Ask, n int) []string {
	names := make([]string, 0, n)
	for _, r := range rooms {
		if d != nil && r.rack.domain != d {
			continue
		}
		if names = fill(names, r.rack, a, n); len(names) == n {
			break
		}
	}
	return names
}

// fill takes servers of one rack until there are n names, those with the most room first.
func fill(names []string, r *rack, a *Ask, n int) []string {
	type serverRoom struct {
		name string
		room int
	}
	rooms := make([]serverRoom, 0, len(r.nodes))
	for _, m := range r.nodes {
		if room := m.room(a); room > 0 {
			rooms = append(rooms, serverRoom{m.Name, room})
		}
	}
	slices.SortStableFunc(rooms, func(x, y serverRoom) int { return y.room - x.room })
	for _, s := range rooms {
		for range min(s.room, n-len(names)) {
			names = append(names, s.name)
		}
	}
	return names
}

// room is how many tasks the rack can take, counted up to n.
func (r *rack) room(a *Ask, n int) int {
	sum := 0
	for _, m := range r.nodes {
		if sum += m.room(a); sum >= n {
			return n
		}
	}
	return sum
}

// room is how many tasks the server can take.
func (n *node) room(a *Ask) int {
	if n.Closed || a.Avoid[n.Name] {
		return 0
	}
	return times(a.Resources, n.free)
}

// maxGangRoom stands for room without bound, for a task that needs nothing.
const maxGangRoom = ibiswork.MaxGangTasks

// times is how often r fits in free.
func times(r, free ibiswork.Resources) int {
	room := int64(maxGangRoom)
	for _, p := range [...][2]int64{
		{r.MilliCPU, free.MilliCPU},
		{r.MemoryMB, free.MemoryMB},
		{r.Accelerators, free.Accelerators},
		{r.Slots, free.Slots},
	} {
		if p[1] < p[0] {
			return 0
		}
		if p[0] > 0 {
			room = min(room, p[1]/p[0])
		}
	}
	return int(room)
}
