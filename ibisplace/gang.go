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
	if !f.rankDomains(rooms, &a, n) {
		return nil, false
	}
	names = make([]string, 0, n)
	for _, r := range rooms {
		if names = fill(names, r.rack, &a, n); len(names) == n {
			break
		}
	}
	return names, true
}

// rankDomains makes the room of each rack exact and orders racks so that the first ones that hold n
// tasks are few: those of the failure domain that needs the fewest, else domains with the most room
// first. It reports whether there is room for n at all.
func (f *Fleet) rankDomains(rooms []rackRoom, a *Ask, n int) bool {
	for i := range rooms {
		rooms[i].room = rooms[i].rack.room(a, n)
	}
	slices.SortStableFunc(rooms, func(x, y rackRoom) int { return y.room - x.room })
	for _, d := range f.domains {
		d.gangRoom, d.gangRacks = 0, 0
	}
	sum := 0
	for _, r := range rooms {
		d := r.rack.domain
		if d.gangRoom < n {
			d.gangRacks++
		}
		d.gangRoom += r.room
		sum += r.room
	}
	slices.SortStableFunc(rooms, func(x, y rackRoom) int { return x.rack.domain.compare(y.rack.domain, n) })
	return sum >= n
}

// compare orders failure domains for a gang of n tasks.
func (d *domain) compare(o *domain, n int) int {
	switch whole, other := d.gangRoom >= n, o.gangRoom >= n; {
	case whole && other && d.gangRacks != o.gangRacks:
		return d.gangRacks - o.gangRacks
	case whole != other || d.gangRoom != o.gangRoom:
		return o.gangRoom - d.gangRoom
	}
	return compareNames(d.name, o.name)
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
