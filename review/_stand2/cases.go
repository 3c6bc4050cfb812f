package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// playHistory: the store keeps 20 s of history. A little work is accepted and begins. 26 s after
// the start the process of the owner is killed, and starts again 1 s later.
func playHistory(s *stand) (broken string, err error) {
	if err := s.setUp(20*time.Second, 8); err != nil {
		return "", err
	}
	const lasting, scheduled, ended = "5c0e7a21d94b36f1", "5c0e7a21d94b36f2", "5c0e7a21d94b36f3"
	due := time.Now().Add(45 * time.Second)
	for id, body := range map[string]string{
		lasting:   `{"spec":"watch","phases":[{"count":4,"cpu":2000,"mem_mb":256,"est_runtime_ms":500,"long_running":true}]}`,
		scheduled: fmt.Sprintf(`{"spec":"run=800ms","phases":[{"count":2,"cpu":2000,"mem_mb":256,"est_runtime_ms":800}],"repeat_count":1,"start_at_ms":%d,"interval_ms":1000}`, due.UnixMilli()),
		ended:     `{"spec":"run=800ms","phases":[{"count":2,"cpu":2000,"mem_mb":256,"est_runtime_ms":800}]}`,
	} {
		if err := s.submit(id, body); err != nil {
			return "", err
		}
	}
	time.Sleep(4 * time.Second)
	if _, state := s.state(lasting, 4*time.Second); state != "running" {
		return "", fmt.Errorf("the lasting submission is %q before the disruption", state)
	}
	time.Sleep(time.Until(s.began.Add(26 * time.Second)))
	if s.trouble {
		o := s.owner()
		if o == nil {
			return "", errors.New("no owner")
		}
		s.record("the process of %s is killed", o.name)
		o.kill()
		time.Sleep(time.Second)
		if err := o.start(); err != nil {
			return "", err
		}
		s.record("the process of %s starts again", o.name)
	}
	// visible_ms, contact_ms and the time of a takeover are long over then.
	time.Sleep(time.Until(due.Add(8 * time.Second)))
	var found []string
	running, began := s.runsOf(lasting), s.startsOf(scheduled)
	s.record("%d tasks of %s run, %d of %s have been started", running, lasting, began, scheduled)
	if running == 0 {
		found = append(found, fmt.Sprintf("nothing of %s runs, on empty workers", lasting))
	}
	if began == 0 {
		found = append(found, fmt.Sprintf("nothing of %s was started, 8 s after its time, on empty workers", scheduled))
	}
	for _, id := range []string{lasting, scheduled, ended} {
		if status, _ := s.state(id, 6*time.Second); status != 200 {
			found = append(found, fmt.Sprintf("GET for the accepted submission %s is answered %d", id, status))
		}
	}
	return strings.Join(found, "; "), nil
}

// playDealt: submissions arrive all the time, and the store deals all partitions of the group anew,
// again each 0.4 to 1 s.
func playDealt(s *stand) (broken string, err error) {
	if err := s.setUp(300*time.Second, 16); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	ends := time.Now().Add(100 * time.Second)
	if s.trouble {
		go func() {
			for time.Now().Before(ends) {
				time.Sleep(400*time.Millisecond + rand.N(600*time.Millisecond))
				s.record("the store deals all partitions anew")
				s.store.dealAnew()
			}
		}()
	}
	const body = `{"spec":"run=400ms","phases":[{"count":6,"cpu":5000,"mem_mb":256,"est_runtime_ms":400},{"count":4,"cpu":5000,"mem_mb":256,"est_runtime_ms":400,"after":[0]}]}`
	for i := 0; time.Now().Before(ends) && broken == ""; i++ {
		go s.call(s.nodes[i%len(s.nodes)], "POST", fmt.Sprintf("5c0e7a21%08x", i), body)
		time.Sleep(100 * time.Millisecond)
		broken = s.twice()
	}
	time.Sleep(time.Second)
	return broken, nil
}

// twice returns a pair of runs of one task that were active at the same time, or "".
func (s *stand) twice() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	type key struct {
		task, worker string
		run          int64
	}
	endOf := make(map[key]endSeen)
	for _, e := range s.ends {
		endOf[key{e.task, e.worker, e.run}] = e
	}
	byTask := make(map[string][]startSeen)
	for _, one := range s.starts {
		for _, other := range byTask[one.task] {
			e, ended := endOf[key{other.task, other.worker, other.run}]
			if !ended || e.at.After(one.at) {
				return fmt.Sprintf("%s: run %d starts on %s at %.3f, run %d on %s began at %.3f and is active still", one.task,
					one.run, one.worker, one.at.Sub(s.began).Seconds(), other.run, other.worker, other.at.Sub(s.began).Seconds())
			}
		}
		byTask[one.task] = append(byTask[one.task], one)
	}
	return ""
}

// playCrashes: three workers crash one after the other, each just after it has begun a task of a
// submission. Its queue has max_attempts 4, and no run ends failed.
func playCrashes(s *stand) (broken string, err error) {
	const id = "5c0e7a21d94b36f4"
	if err := s.setUp(300*time.Second, 8); err != nil {
		return "", err
	}
	crashes := 0
	for _, w := range s.workers {
		w.started = func(w *worker, r *run) {
			if s.trouble && strings.HasPrefix(r.task, id) && crashes < 3 {
				crashes++
				time.AfterFunc(50*time.Millisecond, func() { w.crash(3 * time.Second) })
			}
		}
	}
	time.Sleep(3 * time.Second)
	if err := s.submit(id, `{"spec":"run=800ms","phases":[{"count":1,"cpu":2000,"mem_mb":256,"est_runtime_ms":800}]}`); err != nil {
		return "", err
	}
	state := ""
	for began := time.Now(); time.Since(began) < 60*time.Second && state != "completed" && state != "failed"; time.Sleep(time.Second) {
		_, state = s.state(id, 4*time.Second)
	}
	failed := 0
	s.mu.Lock()
	for _, e := range s.ends {
		if e.how == "failed" {
			failed++
		}
	}
	s.mu.Unlock()
	if state != "completed" {
		return fmt.Sprintf("the submission is shown as %q after %d runs that ended failed; max_attempts is 4", state, failed), nil
	}
	return "", nil
}

// playGang: a gang of four tasks with checkpoints. A worker of one member crashes.
func playGang(s *stand) (broken string, err error) {
	const id = "5c0e7a21d94b36f5"
	if err := s.setUp(300*time.Second, 8); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	body := `{"spec":"gang run=14s","phases":[{"count":4,"cpu":40000,"mem_mb":256,"est_runtime_ms":14000,"gang":true,"checkpointing":true}]}`
	if err := s.submit(id, body); err != nil {
		return "", err
	}
	time.Sleep(6300 * time.Millisecond)
	if s.trouble {
		s.mu.Lock()
		at := ""
		for _, one := range s.starts {
			if one.task == id+".0.0.0" {
				at = one.worker
			}
		}
		s.mu.Unlock()
		for _, w := range s.workers {
			w.mu.Lock()
			is := w.id == at
			w.mu.Unlock()
			if is {
				w.crash(3 * time.Second)
			}
		}
	}
	state := ""
	for began := time.Now(); time.Since(began) < 45*time.Second && state != "completed"; time.Sleep(time.Second) {
		_, state = s.state(id, 4*time.Second)
	}
	checkpoints := make(map[int64]map[string]string)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.starts {
		if checkpoints[one.run] == nil {
			checkpoints[one.run] = make(map[string]string)
		}
		checkpoints[one.run][one.task] = one.checkpoint
	}
	for number, values := range checkpoints {
		first, set := "", false
		for _, value := range values {
			if set && value != first {
				return fmt.Sprintf("the members of run %d of a gang carry different checkpoints: %v", number, values), nil
			}
			first, set = value, true
		}
	}
	return "", nil
}

// playQueues: two requesters, one of each queue, choose the same id.
func playQueues(s *stand) (broken string, err error) {
	if err := s.setUp(300*time.Second, 8); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	first, second := "5c0e7a21d94b36f6", "5c0e7a21d94b36f6"
	if !s.trouble {
		second = "5c0e7a21d94b36f7"
	}
	const body = `{"spec":"%s run=800ms","phases":[{"count":2,"cpu":2000,"mem_mb":256,"est_runtime_ms":800}]}`
	if status, _ := s.callTo(s.nodes[0], "POST", "/lohu930/"+first, fmt.Sprintf(body, "claim of one firm")); status != 200 {
		return "", fmt.Errorf("the first submission is answered %d", status)
	}
	time.Sleep(time.Second)
	accepted, _ := s.callTo(s.nodes[3], "POST", "/dika417/"+second, fmt.Sprintf(body, "sign-in of another"))
	state := ""
	for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(time.Second) {
		_, state = s.callTo(s.nodes[4], "GET", "/dika417/"+second, "")
	}
	if accepted != 200 {
		return "", nil
	}
	ran := 0
	s.mu.Lock()
	for _, one := range s.starts {
		if strings.HasPrefix(one.spec, "sign-in") {
			ran++
		}
	}
	s.mu.Unlock()
	if ran == 0 {
		return fmt.Sprintf("the submission to the second queue was accepted, none of its tasks was started in 20 s, and GET says %s", state), nil
	}
	return "", nil
}
