package main

import (
	"fmt"
	"time"
)

// Findings that the report names and that are no case.
func init() {
	cases["gang-failures"] = reviewCase{site: small, setUp: setUpGangFailures, play: playGangFailures}
	cases["lasting-gang"] = reviewCase{site: small, setUp: setUpLastingGang, play: playLastingGang}
}

// gang-failures: several members of a gang fail in one run.

const gangSize = 24

func setUpGangFailures(c *cluster) error {
	c.addWorkers(gangSize, kindA)
	c.gangs.declare(firstID+".0.0", gangSize)
	return c.manifest(2)
}

func playGangFailures(c *cluster, trouble bool) outcome {
	grey := c.workers[:2]
	setGrey := func(fails bool) {
		for _, w := range grey {
			w.mu.Lock()
			w.fails = fails
			w.mu.Unlock()
			c.record.add("worker %s fails all that it starts: %v", w.id, fails)
		}
	}
	if trouble {
		setGrey(true)
	}
	phases := []map[string]any{{"count": gangSize, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 2000, "gang": true, "anti_affinity": 1}}
	if err := c.submit(firstID, 2*time.Second, phases); err != nil {
		return outcome{err: err}
	}
	if trouble {
		time.Sleep(3200 * time.Millisecond)
		setGrey(false)
	}
	state := c.awaitFinal(firstID, 30*time.Second)
	runs := c.record.runsFailed(firstID + ".0.0")
	c.record.add("the submission is %s; %d runs of the gang have failed, 2 are allowed", state, runs)
	var breaks []string
	if state == "failed" && runs < 2 {
		breaks = append(breaks, fmt.Sprintf("LOST: the submission is shown as %q after %d failed runs of its gang, max_attempts is 2", state, runs))
	}
	return outcome{breaks: breaks}
}

// lasting-gang: a lasting gang ends done.

func setUpLastingGang(c *cluster) error {
	c.addWorkers(4, kindA)
	c.gangs.declare(firstID+".0.0", 4)
	return c.manifest(4)
}

func playLastingGang(c *cluster, trouble bool) outcome {
	work := time.Hour
	if trouble {
		work = 4 * time.Second
	}
	phases := []map[string]any{{"count": 4, "cpu": 2000, "mem_mb": 1000, "est_runtime_ms": 500, "gang": true, "long_running": true}}
	if err := c.submit(firstID, work, phases); err != nil {
		return outcome{err: err}
	}
	time.Sleep(17 * time.Second)
	state := c.state(firstID)
	c.record.add("the submission is %s", state)
	var breaks []string
	if !c.record.isRunning(firstID, 4) && c.record.sinceLastEnd() > 9*time.Second {
		breaks = append(breaks, fmt.Sprintf("LOST: the submission is %s; its tasks last, were not cancelled, and have had no run for %.0f s", state, c.record.sinceLastEnd().Seconds()))
	}
	return outcome{breaks: breaks}
}
