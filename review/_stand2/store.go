package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store, as PROTOCOL.md describes it: a log with topics,
// conditional and fenced appends, keyed topics and groups. A call takes 4 ms.
type store struct {
	mu      sync.Mutex
	streams map[string]*stream
	changed chan struct{}
	groups  map[string]*group
	// keep is how long records are kept; the newest one of each key of a keyed topic stays.
	keep time.Duration
}

type logRecord struct {
	data []byte
	at   time.Time
}

type stream struct {
	// first is the offset of the first record that is kept.
	first   int64
	records []logRecord
	// newest has the newest value of each key of a keyed topic, newestAt its offset.
	newest   map[string][]byte
	newestAt map[string]int64
	epoch    int64
	recent   []pastAppend
}

type pastAppend struct{ sequence, offset, end int64 }

// parts is the number of partitions of each topic.
const parts = 24

const storeLatency = 4 * time.Millisecond

func newStore(keep time.Duration) *store {
	return &store{streams: make(map[string]*stream), changed: make(chan struct{}), groups: make(map[string]*group), keep: keep}
}

func (s *store) stream(topic, part string) *stream {
	name := topic + "/" + part
	t := s.streams[name]
	if t == nil {
		t = &stream{newest: make(map[string][]byte), newestAt: make(map[string]int64)}
		s.streams[name] = t
	}
	for len(t.records) > 0 && time.Since(t.records[0].at) > s.keep {
		t.records = t.records[1:]
		t.first++
	}
	return t
}

func (t *stream) end() int64 { return t.first + int64(len(t.records)) }

// add appends records. The caller holds the lock.
func (s *store) add(topic string, t *stream, records [][]byte) {
	for _, data := range records {
		if strings.HasPrefix(topic, "keyed.") && len(data) > 0 && len(data) > int(data[0]) {
			key := string(data[1 : 1+data[0]])
			t.newest[key], t.newestAt[key] = data[1+data[0]:], t.end()
			if len(t.newest[key]) == 0 {
				delete(t.newest, key)
			}
		}
		t.records = append(t.records, logRecord{data: data, at: time.Now()})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a value under a key, as the operator and the workers do. A nil value drops the key.
func (s *store) put(topic, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, s.stream(topic, "0"), [][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	q := r.URL.Query()
	topic, part := q.Get("topic"), q.Get("part")
	switch r.URL.Path {
	case "/-/log-append":
		s.handleAppend(w, topic, part, q.Get("at"), q.Has("producer"), number(q.Get("epoch")), number(q.Get("sequence")), body)
	case "/-/log-read":
		s.handleRead(w, r, topic, part, number(q.Get("from")), number(q.Get("fetch_limit")), number(q.Get("wait_ms")))
	case "/-/log-newest":
		s.handleNewest(w, topic, part, q.Get("after"))
	case "/-/log-trim":
		answer(w, http.StatusOK, map[string]any{})
	case "/-/log-join", "/-/log-leave":
		s.handleMember(w, r.URL.Path == "/-/log-leave", body)
	case "/-/log-owners":
		s.handleOwners(w, q.Get("group"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) handleAppend(w http.ResponseWriter, topic, part, at string, fenced bool, epoch, sequence int64, body []byte) {
	var records [][]byte
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(topic, part)
	if fenced && epoch < t.epoch {
		answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return
	}
	if fenced && epoch == t.epoch {
		for _, a := range t.recent {
			if a.sequence == sequence {
				answer(w, http.StatusOK, map[string]any{"offset": a.offset, "end_offset": a.end})
				return
			}
		}
	}
	if at != "" && number(at) != t.end() {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end_offset": t.end()})
		return
	}
	if n := len(t.recent); fenced && epoch == t.epoch && n > 0 && sequence != t.recent[n-1].sequence+1 {
		answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": t.recent[n-1].sequence + 1})
		return
	}
	if fenced && epoch > t.epoch {
		t.epoch, t.recent = epoch, nil
	}
	offset := t.end()
	if len(records) > 0 {
		s.add(topic, t, records)
	}
	if fenced {
		t.recent = append(t.recent, pastAppend{sequence, offset, t.end()})
		t.recent = t.recent[max(0, len(t.recent)-5):]
	}
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": t.end()})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request, topic, part string, from, limit, wait int64) {
	timeout := time.After(time.Duration(max(0, wait)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.stream(topic, part)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"first_offset": first})
			return
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
		out = binary.BigEndian.AppendUint64(out, uint64(t.first))
		found := from < t.end()
		for i := from; i < t.end() && i < from+max(1, limit); i++ {
			data := t.records[i-t.first].data
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(data))), data...)
		}
		changed := s.changed
		s.mu.Unlock()
		if found || wait <= 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, topic, part, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.stream(topic, part)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		size += len(t.newest[key])
		if len(items) == 500 || len(items) > 0 && size > 1<<20 {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(t.newest[key]), "offset": t.newestAt[key]})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": t.end()})
}

// group deals the partitions of a topic to its members.
type group struct {
	generation int64
	topic      string
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	assigned   [parts]string
	holder     [parts]string
}

func (s *store) handleMember(w http.ResponseWriter, leaves bool, body []byte) {
	var q struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		TopicList  []string `json:"topic_list"`
		TTLMs      int64    `json:"ttl_ms"`
		Generation int64    `json:"generation"`
	}
	if json.Unmarshal(body, &q) != nil || !leaves && len(q.TopicList) != 1 {
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
	g.topic = q.TopicList[0]
	_, known := g.seen[q.Member]
	g.seen[q.Member], g.ttl[q.Member] = time.Now(), time.Duration(q.TTLMs)*time.Millisecond
	if g.expire() || !known {
		g.deal()
	}
	rows := [][]any{}
	for p := range g.assigned {
		if q.Generation >= g.generation && g.holder[p] == q.Member && g.assigned[p] != q.Member {
			g.holder[p] = ""
		}
		if g.assigned[p] == q.Member && (g.holder[p] == "" || g.holder[p] == q.Member) {
			g.holder[p] = q.Member
			rows = append(rows, []any{g.topic, p, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (g *group) expire() bool {
	removed := false
	for member, at := range g.seen {
		if time.Since(at) > g.ttl[member] {
			g.remove(member)
			removed = true
		}
	}
	return removed
}

func (g *group) remove(member string) {
	delete(g.seen, member)
	for p := range g.holder {
		if g.holder[p] == member {
			g.holder[p] = ""
		}
	}
}

// deal deals the partitions evenly. A partition stays with a member that is still there, as far as
// that is even.
func (g *group) deal() {
	g.generation++
	var members []string
	for member := range g.seen {
		members = append(members, member)
	}
	sort.Strings(members)
	if len(members) == 0 {
		g.assigned = [parts]string{}
		return
	}
	most := (parts + len(members) - 1) / len(members)
	count := make(map[string]int)
	for p, member := range g.assigned {
		if _, there := g.seen[member]; !there || count[member] == most {
			g.assigned[p] = ""
			continue
		}
		count[member]++
	}
	for p, member := range g.assigned {
		if member != "" {
			continue
		}
		least := members[0]
		for _, m := range members {
			if count[m] < count[least] {
				least = m
			}
		}
		g.assigned[p] = least
		count[least]++
	}
}

// dealAnew deals all partitions anew at once, without waiting for the members that hold them.
func (s *store) dealAnew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		g.expire()
		g.generation++
		var members []string
		for member := range g.seen {
			members = append(members, member)
		}
		rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
		g.holder = [parts]string{}
		for p := range g.assigned {
			if len(members) > 0 {
				g.assigned[p] = members[p%len(members)]
			}
		}
	}
}

func (s *store) handleOwners(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	if g := s.groups[name]; g != nil {
		if g.expire() {
			g.deal()
		}
		for p, member := range g.holder {
			if member != "" {
				rows = append(rows, []any{g.topic, p, member, 0})
			}
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// ownerOf returns the member that holds a partition, or "".
func (s *store) ownerOf(part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		return g.holder[part]
	}
	return ""
}

func number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return -1
	}
	return n
}

func answer(w http.ResponseWriter, status int, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
