package soak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Long-running submissions of the soak. Of the six workers, which can each run two of
// their tasks, three belong to the cell of the wide one, so that two of its tasks need
// a worker of the other cell.
const (
	// longRunningCaller is the first half of their ids.
	longRunningCaller = 9
	wideSubmission    = "0000000900000000"
	wideTasks         = 8
	shortSubmission   = "0000000900000001"
	shortTasks        = 2
	// maxCancelTime is the time after which a cancelled task must not run any more, as
	// stated by the platform's users, and the time that a stop takes.
	maxCancelTime = 4*time.Second + time.Second
)

// submitLongRunning submits the long-running submissions.
func (s *seedRun) submitLongRunning(client *http.Client, random *rand.Rand) {
	for id, tasks := range map[string]int{wideSubmission: wideTasks, shortSubmission: shortTasks} {
		body := fmt.Sprintf(`{"spec":"1h","phases":[{"count":%d,"cpu":%d,"mem_mb":64,"est_runtime_ms":300,"long_running":true}]}`, tasks, s.profile.workerCPU*3/8)
		for attempt := 0; ; attempt++ {
			status, _ := s.send(client, random, http.MethodPost, id, body)
			if status == http.StatusOK {
				break
			}
			if attempt == 20 {
				s.t.Fatalf("long-running submission %s was not accepted", id)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// cancelLongRunning cancels a long-running submission; it returns when the
// cancellation is acknowledged.
func (s *seedRun) cancelLongRunning(client *http.Client, id string) {
	deadline := time.Now().Add(settleTime)
	for time.Now().Before(deadline) {
		if status, _ := s.send(client, s.random, http.MethodDelete, id, ""); status == http.StatusOK || status == http.StatusGone {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Errorf("long-running submission %s could not be cancelled", id)
}

// checkLongRunning checks that all tasks of the wide submission run, and none of the
// short one, which was cancelled; and that none runs after a cancellation.
func (s *seedRun) checkLongRunning() {
	client := &http.Client{Timeout: 4 * time.Second}
	s.waitRunning(wideSubmission, wideTasks, wideTasks, settleTime)
	s.cancelLongRunning(client, shortSubmission)
	s.cancelLongRunning(client, wideSubmission)
	s.waitRunning(shortSubmission, shortTasks, 0, maxCancelTime)
	s.waitRunning(wideSubmission, wideTasks, 0, maxCancelTime)
	time.Sleep(2 * time.Second)
	if n := s.running(wideSubmission, wideTasks) + s.running(shortSubmission, shortTasks); n > 0 {
		s.t.Errorf("%d tasks were started again after they had been cancelled", n)
	}
}

// waitRunning waits until a number of a submission's tasks run.
func (s *seedRun) waitRunning(id string, tasks, expected int, limit time.Duration) {
	began := time.Now()
	for s.running(id, tasks) != expected {
		if time.Since(began) > limit {
			s.t.Errorf("%d of the long-running tasks of %s run after %v instead of %d", s.running(id, tasks), id, limit, expected)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Logf("%d tasks of %s run after %v", expected, id, time.Since(began).Round(time.Millisecond))
}

func (s *seedRun) running(id string, tasks int) int {
	n := 0
	for index := range tasks {
		if s.history.Running(fmt.Sprintf("%s.0.0.%d", id, index)) {
			n++
		}
	}
	return n
}
