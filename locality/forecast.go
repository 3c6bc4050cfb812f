package locality

import (
	"cmp"
	"slices"
	"time"

	"github.com/cactusreel/cactusreel/hostapi"
)

// Release is capacity that a run is expected to leave.
type Release struct {
	// After is the expected time until the run ends.
	After time.Duration
	Frees hostapi.Resources
}

// Room is the capacity of a worker that is free now, and what becomes free.
type Room struct {
	Free     hostapi.Resources
	Releases []Release
}

// Forecast says when the workers of a rack are expected to have room. Tasks take room in
// the order in which they are placed, so a later one waits for what the earlier ones leave.
type Forecast struct{ rooms []Room }

// Slot is room for one task.
type Slot struct {
	// After is the expected time until the room is free.
	After time.Duration
	room  int
}

// NewForecast returns the forecast of a rack with workers. It changes the order of their
// releases.
func NewForecast(rooms []Room) *Forecast {
	for _, r := range rooms {
		slices.SortFunc(r.Releases, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	}
	return &Forecast{rooms: rooms}
}

// Empty reports whether the rack has no workers.
func (f *Forecast) Empty() bool { return len(f.rooms) == 0 }

// Clone returns a forecast that can be changed apart from this one.
func (f *Forecast) Clone() *Forecast {
	c := &Forecast{rooms: slices.Clone(f.rooms)}
	for i := range c.rooms {
		c.rooms[i].Releases = slices.Clone(c.rooms[i].Releases)
	}
	return c
}

// TakeAll reserves room for a number of tasks, and returns the time after which all of them have
// it, or false if that is not expected within a time. Some room is reserved then all the same.
func (f *Forecast) TakeAll(tasks int, request hostapi.Resources, within, runTime time.Duration) (time.Duration, bool) {
	last := time.Duration(0)
	for range tasks {
		slot, found := f.Next(request, within)
		if !found {
			return 0, false
		}
		f.Take(slot, request, runTime)
		last = max(last, slot.After)
	}
	return last, true
}

// Next returns the earliest room for a request within a time, or false if none is expected.
func (f *Forecast) Next(request hostapi.Resources, within time.Duration) (Slot, bool) {
	best, found := Slot{}, false
	for i := range f.rooms {
		if after, ok := f.rooms[i].next(request, within); ok && (!found || after < best.After) {
			best, found = Slot{After: after, room: i}, true
		}
	}
	return best, found
}

// next returns when a worker has room for a request.
func (r *Room) next(request hostapi.Resources, within time.Duration) (time.Duration, bool) {
	free := r.Free
	if request.Fits(free) {
		return 0, true
	}
	for _, release := range r.Releases {
		if release.After > within {
			break
		}
		if free = free.Add(release.Frees); request.Fits(free) {
			return release.After, true
		}
	}
	return 0, false
}

// Take reserves room for a task that runs for a time. The room is not given to others before
// the task begins either.
func (f *Forecast) Take(s Slot, request hostapi.Resources, runTime time.Duration) {
	r := &f.rooms[s.room]
	r.Free = r.Free.Sub(request)
	end := Release{After: s.After + runTime, Frees: request}
	at, _ := slices.BinarySearchFunc(r.Releases, end, func(a, b Release) int { return cmp.Compare(a.After, b.After) })
	r.Releases = slices.Insert(r.Releases, at, end)
}
