package main

import (
	"fmt"
	"time"
)

var cases = map[string]reviewCase{
	"many-ends":      {site: small, setUp: setUpManyEnds, play: playManyEnds},
	"repeated-crash": {site: small, setUp: setUpRepeatedCrash, play: playRepeatedCrash},
	"hopeless-gang":  {site: small, setUp: setUpHopelessGang, play: playHopelessGang},
	"odd-entry":      {site: small, setUp: setUpOddEntry, play: playOddEntry},
	"long-tasks":     {site: small, setUp: setUpLongTasks, play: playLongTasks},
}

func (c *cluster) addWorkers(n int, kind func(i int) string) {
	for i := range n {
		labels := []string{kind(i), fmt.Sprintf("r1-%d", i/8)}
		c.workers = append(c.workers, newWorker(fmt.Sprintf("i-%04d", i), "giza", labels, c.record, c.gangs))
	}
}

func kindA(int) string { return "a" }

// many-ends: one worker has more ends to list than one answer returns when the store is down.

func setUpManyEnds(c *cluster) error {
	c.addWorkers(2, kindA)
	return c.manifest(4)
}

func playManyEnds(c *cluster, trouble bool) outcome {
	phases := []map[string]any{{"count": 2400, "cpu": 50, "mem_mb": 100, "est_runtime_ms": 4000}}
	if err := c.submit(firstID, 4*time.Second, phases); err != nil {
		return outcome{err: err}
	}
	time.Sleep(3200 * time.Millisecond)
	if trouble {
		c.storeDown(4500 * time.Millisecond)
	} else {
		time.Sleep(4500 * time.Millisecond)
	}
	state := c.awaitFinal(firstID, 40*time.Second)
	c.record.add("the submission is %s", state)
	return outcome{breaks: c.record.twice()}
}

// repeated-crash: the only worker of a kind crashes several times.

func setUpRepeatedCrash(c *cluster) error {
	c.addWorkers(10, func(i int) string {
		if i == 9 {
			return "b"
		}
		return "a"
	})
	return c.manifest(4)
}

func playRepeatedCrash(c *cluster, trouble bool) outcome {
	const (
		period  = 1400 * time.Millisecond
		crashes = 4
	)
	crashing := c.workers[9]
	phases := []map[string]any{{"count": 1, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 3000, "requirements": "b"}}
	if err := c.submit(firstID, 3*time.Second, phases); err != nil {
		return outcome{err: err}
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		for range crashes {
			crashing.crash()
			time.Sleep(period / 2)
			if err := crashing.boot(); err != nil {
				return outcome{err: err}
			}
			c.announce(crashing)
			time.Sleep(period / 2)
		}
	}
	state := c.awaitFinal(firstID, 40*time.Second)
	failures := c.record.failuresOf(firstID + ".0.0.0")
	c.record.add("the submission is %s after %d ends `failed`", state, failures)
	var breaks []string
	if state == "failed" && failures < 4 {
		breaks = append(breaks, fmt.Sprintf("LOST: the submission is shown as %q after %d ends `failed`, max_attempts is 4", state, failures))
	}
	return outcome{breaks: breaks}
}

// hopeless-gang: a lasting gang that is larger than its service.

func setUpHopelessGang(c *cluster) error {
	c.addWorkers(10, kindA)
	c.gangs.declare(hopelessID+".0.0", 12)
	return c.manifest(4)
}

const (
	hopelessID = "0000000000000bad"
	// soundSubmissions makes the hopeless or long one less than a twentieth of all.
	soundSubmissions = 24
	finish           = 14 * time.Second
)

func playHopelessGang(c *cluster, trouble bool) outcome {
	if trouble {
		phases := []map[string]any{{"count": 12, "cpu": 40000, "mem_mb": 1000, "est_runtime_ms": 500, "gang": true, "long_running": true}}
		if err := c.submit(hopelessID, time.Hour, phases); err != nil {
			return outcome{err: err}
		}
	}
	time.Sleep(time.Second)
	var ids []string
	for i := range soundSubmissions {
		ids = append(ids, fmt.Sprintf("%016x", 0xa0+i))
		phases := []map[string]any{{"count": 4, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 1000}}
		if err := c.submit(ids[i], time.Second, phases); err != nil {
			return outcome{err: err}
		}
	}
	c.record.add("the traffic ends")
	time.Sleep(finish)
	before := make(map[string]int)
	for _, id := range ids {
		before[id] = c.record.startsOf(id, 4)
	}
	time.Sleep(3 * time.Second)
	var breaks []string
	for _, id := range ids {
		state := c.state(id)
		if state != "completed" && c.record.startsOf(id, 4) == before[id] && !c.record.isRunning(id, 4) {
			breaks = append(breaks, fmt.Sprintf("LOST: submission %s is %s and has had nothing running for 3 s, 14 s after the end of the traffic; the workers run %d tasks and have 640 cores",
				id, state, c.record.runningCount()))
		}
	}
	return outcome{breaks: breaks}
}

// odd-entry: an entry of another writer under the id of a worker.

func setUpOddEntry(c *cluster) error {
	c.addWorkers(4, kindA)
	return c.manifest(4)
}

func playOddEntry(c *cluster, trouble bool) outcome {
	phases := []map[string]any{{"count": 8, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 8000}}
	if err := c.submit(firstID, 8*time.Second, phases); err != nil {
		return outcome{err: err}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		address, err := freeAddress()
		if err != nil {
			return outcome{err: err}
		}
		entry := map[string]any{
			"service": "other-app", "address": address, "zone": "giza", "version": "v3", "slots": 4, "state": "ready",
			"cold_remaining_ms": 0, "born": time.Now().UnixMilli(), "clock_ms": 1000, "sequence": 1,
			"capacity": map[string]any{"cpu": 8000, "mem_mb": 16000, "gpu": 0}, "labels": []string{"a", "r1-0"},
		}
		c.record.add("another writer writes an entry of the service other-app, which no manifest names, as servers/%s", c.workers[0].id)
		if err := c.store.log.Put("keyed.servers", c.workers[0].id, entry); err != nil {
			return outcome{err: err}
		}
	}
	c.record.add("the submission is %s", c.awaitFinal(firstID, 30*time.Second))
	return outcome{breaks: c.record.twice()}
}

// long-tasks: tasks whose percent stays the same from one report to the next.

const longWorkers = 2

func setUpLongTasks(c *cluster) error {
	c.addWorkers(10, func(i int) string {
		if i < longWorkers {
			return "b"
		}
		return "a"
	})
	return c.manifest(4)
}

func playLongTasks(c *cluster, trouble bool) outcome {
	const longTasks = 4 * longWorkers
	submit := func(id string, count int, work time.Duration, kind string) error {
		return c.submit(id, work, []map[string]any{{
			"count": count, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": work.Milliseconds(), "requirements": kind,
		}})
	}
	var ids []string
	for i := range soundSubmissions {
		ids = append(ids, fmt.Sprintf("%016x", 0xa0+i))
		if err := submit(ids[i], 4, time.Second, "b"); err != nil {
			return outcome{err: err}
		}
		time.Sleep(125 * time.Millisecond)
	}
	work := time.Second
	if trouble {
		work = 300 * time.Second
	}
	ids = append(ids, firstID)
	if err := submit(firstID, longTasks, work, "b"); err != nil {
		return outcome{err: err}
	}
	c.record.add("the traffic ends")
	time.Sleep(finish)
	c.record.add("submissions are asked for")
	idle, longest := make(map[string]time.Duration), make(map[string]time.Duration)
	for began, last := time.Now(), time.Now(); time.Since(began) < 30*time.Second; {
		time.Sleep(20 * time.Millisecond)
		step := time.Since(last)
		last = time.Now()
		for _, id := range ids {
			if c.record.isRunning(id, longTasks) {
				idle[id] = 0
				continue
			}
			idle[id] += step
			longest[id] = max(longest[id], idle[id])
		}
	}
	var breaks []string
	for _, id := range ids {
		state := c.state(id)
		c.record.add("submission %s is %s, its tasks were started %d times", id, state, c.record.startsOf(id, longTasks))
		if longest[id] > 3*time.Second && state != "completed" {
			breaks = append(breaks, fmt.Sprintf("LOST: submission %s is %s and has had nothing running for %.1f s on end, later than 14 s after the end of the traffic; its %d tasks were started %d times",
				id, state, longest[id].Seconds(), longTasks, c.record.startsOf(id, longTasks)))
		}
	}
	return outcome{breaks: breaks}
}
