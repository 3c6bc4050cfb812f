package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cactusreel/cactusreel/platform/platformtest"
)

// store is the platform's store: the log of the project's stand-in, and groups whose times
// pause while the store is down.
type store struct {
	log    *platformtest.Store
	mu     sync.Mutex
	down   bool
	delay  time.Duration
	groups map[string]*group
}

// partitions is the number of partitions of a topic.
const partitions = 24

// group deals the partitions of a topic to its members. A partition that a member has lost
// is dealt to another one when the member has joined with this generation, has left, or has
// sent nothing for its time to live.
type group struct {
	generation int64
	topic      string
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	assigned   [partitions]string
	holders    [partitions]string
}

func newStore() *store {
	return &store{log: platformtest.NewStore(1), delay: storeAnswer, groups: make(map[string]*group)}
}

// setDown takes the store down (503 to every call) or brings it back.
func (s *store) setDown(down bool, length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		return
	}
	for _, g := range s.groups {
		for member := range g.seen {
			g.seen[member] = g.seen[member].Add(length)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, delay := s.down, s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	if down {
		answer(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	switch r.URL.Path {
	case "/-/log-join", "/-/log-leave":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.join(w, body, r.URL.Path == "/-/log-leave")
	case "/-/log-owners":
		s.owners(w, r.URL.Query().Get("group"))
	default:
		s.log.ServeHTTP(w, r)
	}
}

func (s *store) join(w http.ResponseWriter, body []byte, leaves bool) {
	var q struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		TopicList  []string `json:"topic_list"`
		TTLMs      int64    `json:"ttl_ms"`
		Generation int64    `json:"generation"`
	}
	if json.Unmarshal(body, &q) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[q.Group]
	if g == nil {
		g = &group{seen: make(map[string]time.Time), ttl: make(map[string]time.Duration)}
		s.groups[q.Group] = g
	}
	if leaves {
		g.remove(q.Member)
		g.deal()
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	_, known := g.seen[q.Member]
	g.topic = q.TopicList[0]
	g.seen[q.Member], g.ttl[q.Member] = time.Now(), time.Duration(q.TTLMs)*time.Millisecond
	if g.removeSilent() || !known {
		g.deal()
	}
	rows := [][]any{}
	for p, member := range g.assigned {
		if g.holders[p] == q.Member && member != q.Member && q.Generation >= g.generation {
			g.holders[p] = ""
		}
		if member == q.Member && (g.holders[p] == "" || g.holders[p] == member) {
			g.holders[p] = member
			rows = append(rows, []any{g.topic, p, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (g *group) removeSilent() bool {
	found := false
	for member, at := range g.seen {
		if time.Since(at) > g.ttl[member] {
			g.remove(member)
			found = true
		}
	}
	return found
}

func (g *group) remove(member string) {
	delete(g.seen, member)
	for p := range g.holders {
		if g.holders[p] == member {
			g.holders[p] = ""
		}
	}
}

// deal deals the partitions anew. Members keep what they have as far as the parts stay even.
func (g *group) deal() {
	g.generation++
	var members []string
	for member := range g.seen {
		members = append(members, member)
	}
	slices.Sort(members)
	if len(members) == 0 {
		g.assigned = [partitions]string{}
		return
	}
	most := (partitions + len(members) - 1) / len(members)
	count := make(map[string]int)
	for p, member := range g.assigned {
		if _, is := g.seen[member]; !is || count[member] >= most {
			g.assigned[p] = ""
			continue
		}
		count[member]++
	}
	for p := range g.assigned {
		if g.assigned[p] != "" {
			continue
		}
		least := slices.MinFunc(members, func(a, b string) int { return count[a] - count[b] })
		g.assigned[p] = least
		count[least]++
	}
}

func (s *store) owners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[name]; g != nil {
		for p, member := range g.holders {
			if member != "" {
				rows = append(rows, []any{g.topic, p, member, 0})
			}
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}
