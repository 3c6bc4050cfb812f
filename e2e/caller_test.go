package e2e

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cactusreel/cactusreel/checker"
	"github.com/cactusreel/cactusreel/result"
)

// requestSequence numbers the requests of all callers, each repetition included.
var requestSequence atomic.Int64

// bodyLines is the number of lines of a body. The backend servers echo the body;
// it has several kilobytes, so that a response can break off in the middle.
const bodyLines = 100

// callerRequest is a request of a caller to an entry VM.
type callerRequest struct {
	method, id, query string
	vm                *entryVM
}

// send sends a request, records the result that the caller observed, and returns
// it with the body of the response.
func (c *cluster) send(service string, r callerRequest) (checker.Result, string) {
	body := strings.Repeat("body of "+r.id+"\n", bodyLines)
	n := requestSequence.Add(1)
	url := fmt.Sprintf("http://%s/s/%s/%s?%s", r.vm.callerAddress, service, r.id, r.query)
	request, err := http.NewRequest(r.method, url, strings.NewReader(body))
	if err != nil {
		c.t.Error(err)
		return checker.NoAnswer, ""
	}
	request.Header.Set("Cactusreel-Request-Id", r.id)
	idempotent := r.method != http.MethodPost
	// Backend servers get no request id with idempotent requests; their history
	// names the path.
	observedID := r.id
	if idempotent {
		observedID = "/" + r.id
	}
	c.recordEvent(checker.Event{Type: checker.RequestSent, VM: r.vm.name, Caller: "caller", Request: observedID, Sequence: n, Idempotent: idempotent})
	began := time.Now()
	outcome, answer, complete, detail := classify(request)
	c.noteTry(r, outcome, detail, began)
	c.recordEvent(checker.Event{Type: checker.RequestAnswered, VM: r.vm.name, Caller: "caller", Request: observedID, Sequence: n, Result: outcome, Complete: complete, Answer: answer, Expected: body})
	return outcome, answer
}

// callerClient uses a new connection for each request, so that requests to a
// stopped entry VM fail.
var callerClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}

// classify sends a request and returns the result that the caller can infer from
// the response, the body, whether the response was complete, and why it is not that of the
// backend server.
func classify(request *http.Request) (outcome checker.Result, answer string, complete bool, detail string) {
	response, err := callerClient.Do(request)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return checker.NotRun, "", true, err.Error()
		}
		return checker.NoAnswer, "", false, err.Error()
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return checker.Answered, string(body), false, err.Error()
	}
	number, _ := strconv.Atoi(response.Header.Get("Cactusreel-Result"))
	code := result.Code(number)
	info, _ := result.Lookup(code)
	detail = fmt.Sprintf("status %d, result %d: %s", response.StatusCode, code, body[:min(len(body), maxDetailBytes)])
	switch {
	case code == result.OK:
		return checker.Answered, string(body), true, ""
	case code == result.AnswerNotKept:
		return checker.AlreadyRan, "", true, detail
	case info.Ran == "no":
		return checker.NotRun, "", true, detail
	}
	return checker.OutcomeUnknown, "", true, detail
}

// maxDetailBytes is the maximum length of a response in a detail.
const maxDetailBytes = 300

// balancerTargets returns the VMs to which the platform's load balancer would
// send requests: those whose /readyz succeeds, or all if none does.
func (c *cluster) balancerTargets(vms []*entryVM) []*entryVM {
	c.balancerMu.Lock()
	defer c.balancerMu.Unlock()
	if time.Since(c.probedAt) >= balancerProbeInterval {
		c.probedAt = time.Now()
		c.readyEntries = nil
		for _, vm := range c.entries {
			if c.httpStatus(vm, "/readyz") == http.StatusOK {
				c.readyEntries = append(c.readyEntries, vm)
			}
		}
	}
	var chosen []*entryVM
	for _, vm := range vms {
		if slices.Contains(c.readyEntries, vm) {
			chosen = append(chosen, vm)
		}
	}
	if len(chosen) == 0 {
		return vms
	}
	return chosen
}

// balancerProbeInterval is the minimum time between two probes of /readyz. It is
// below the balancer delay in the daemon's settings of these tests.
const balancerProbeInterval = 50 * time.Millisecond

// answered sends a request to the register service and reports whether the caller
// got the backend server's response.
func (c *cluster) answered(r callerRequest) bool {
	outcome, _ := c.send("register", r)
	return outcome == checker.Answered
}

// maxTries is the maximum number of requests that a caller sends with the same id.
const maxTries = 3

// sendUntilOutcome sends a request, and repeats it with the same id at the next
// entry VM until the outcome is known or maxTries is reached.
func (c *cluster) sendUntilOutcome(service string, r callerRequest, vms []*entryVM) checker.Result {
	outcome := checker.NoAnswer
	for i := range maxTries {
		outcome, _ = c.send(service, r)
		if outcome == checker.Answered || outcome == checker.AlreadyRan {
			return outcome
		}
		r.vm = vms[(slices.Index(vms, r.vm)+1+i)%len(vms)]
	}
	return outcome
}

// startLoad sends requests from several callers until stop is called, which
// returns the number of answered requests.
func (c *cluster) startLoad(service, method, query string, parallel int, vms ...*entryVM) (stop func() int) {
	var answered atomic.Int64
	var wg sync.WaitGroup
	done := make(chan struct{})
	for p := range parallel {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				r := callerRequest{method: method, id: fmt.Sprintf("%s-%s-%d-%d", c.t.Name(), method, p, i), query: query}
				ready := c.balancerTargets(vms)
				r.vm = ready[(p+i)%len(ready)]
				if c.sendUntilOutcome(service, r, ready) == checker.Answered {
					answered.Add(1)
				}
			}
		})
	}
	return func() int {
		close(done)
		wg.Wait()
		return int(answered.Load())
	}
}
