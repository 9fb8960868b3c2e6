// Package ibisdispatch shares a scarce resource among classes of work by the time that each class takes of it, like
// start-time fair queueing. Package ibiscell shares the daemons that call the advice service among the priorities of
// queues with it.
//
// A class that waits for the resource gets as much of its time as the others that wait, so that the long calls of one
// class cannot keep another from the servers that it needs. A class that has not waited for a while does not save up
// time.
//
// Usage:
//
//	var t ibisdispatch.Turns
//	for len(waiting) > 0 && free() {
//		class, _ := t.Next(slices.Collect(maps.Keys(waiting)))
//		t.Charge(class, start(waiting[class]))
//	}
package ibisdispatch

// Turns decides whose turn it is. The zero value is ready to use. Time is in milliseconds of the resource.
type Turns struct {
	used    map[int]float64 // virtual time of each class
	current float64         // virtual time of the class whose turn was last
}

// maxClasses bounds the classes that are remembered; those of removed queues are forgotten all at once.
const maxClasses = 256

// Next returns the one of the waiting classes that has had least; among equals the lowest. It reports false if there
// is none.
func (t *Turns) Next(waiting []int) (class int, ok bool) {
	for _, c := range waiting {
		if !ok || t.at(c) < t.at(class) || t.at(c) == t.at(class) && c < class {
			class, ok = c, true
		}
	}
	if ok {
		t.current = max(t.current, t.at(class))
	}
	return class, ok
}

// at returns the virtual time of a class, which is never behind that of the last turn: a class that was idle begins level
// with the others.
func (t *Turns) at(class int) float64 { return max(t.used[class], t.current) }

// Charge records that a class has been given ms of the resource.
func (t *Turns) Charge(class int, ms float64) {
	if t.used == nil || len(t.used) >= maxClasses {
		t.used = make(map[int]float64)
	}
	t.used[class] = t.at(class) + max(ms, 0)
}
