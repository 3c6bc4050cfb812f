package main

import (
	"strings"
	"sync"
	"time"
)

// gangs knows which steps are gangs and joins the members of each run.
type gangs struct {
	mu sync.Mutex
	// sizes has the number of members of each step that is a gang, by ID.K.STEP.
	sizes map[string]int
	runs  map[string]*gang
}

// gang is one run of a gang.
type gang struct {
	owner   *gangs
	size    int
	mu      sync.Mutex
	members map[*run]*worker
	working bool
	over    bool
}

// gangNotice is the time after which members on other workers learn that one has ended.
const gangNotice = 10 * time.Millisecond

func newGangs() *gangs { return &gangs{sizes: make(map[string]int), runs: make(map[string]*gang)} }

func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (g *gangs) declare(step string, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sizes[step] = size
}

func (g *gangs) isGang(task string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sizes[stepOf(task)] > 0
}

// join adds a member. When all are present, they work. The caller holds the worker's lock.
func (g *gangs) join(w *worker, r *run) *gang {
	g.mu.Lock()
	name := key(stepOf(r.task), r.number)
	one := g.runs[name]
	if one == nil {
		one = &gang{owner: g, size: g.sizes[stepOf(r.task)], members: make(map[*run]*worker)}
		g.runs[name] = one
	}
	g.mu.Unlock()
	one.mu.Lock()
	defer one.mu.Unlock()
	one.members[r] = w
	lifetime := w.lifetime
	r.timer = time.AfterFunc(gangTimeout, func() {
		one.mu.Lock()
		working := one.working
		one.mu.Unlock()
		if !working {
			w.endLater(r, "alone", lifetime)
		}
	})
	if len(one.members) == one.size && !one.over {
		one.working = true
		go one.beginWork()
	}
	return one
}

func (g *gang) beginWork() {
	for r, w := range g.snapshot() {
		w.mu.Lock()
		if w.active[key(r.task, r.number)] == r && !r.isStopped {
			r.timer.Stop()
			w.beginWork(r)
		}
		w.mu.Unlock()
	}
}

func (g *gang) snapshot() map[*run]*worker {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[*run]*worker, len(g.members))
	for r, w := range g.members {
		out[r] = w
	}
	return out
}

// memberEnded ends the other members: they are done with the one that is done, and broken
// otherwise.
func (g *gang) memberEnded(ended *run, how string) {
	g.mu.Lock()
	first := !g.over
	g.over = true
	g.mu.Unlock()
	if !first {
		return
	}
	time.Sleep(gangNotice)
	others := "broken"
	if how == "done" {
		others = "done"
	}
	for r, w := range g.snapshot() {
		if r == ended {
			continue
		}
		w.mu.Lock()
		w.end(r, others)
		w.mu.Unlock()
	}
}
