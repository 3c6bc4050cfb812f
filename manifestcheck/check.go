package manifestcheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/cactusreel/cactusreel/workload"
)

const (
	// minTimeout is the least time limit of a call in which a record can be stored: an append
	// to a log in another data centre, and the margin in which the response arrives.
	minTimeout = 300 * time.Millisecond
	// minHeaderBytes is the least size of a head that ordinary HTTP clients send.
	minHeaderBytes = 1024
	// smallCap is the cap, in thousandths of a core, below which ordinary tasks exceed it alone.
	smallCap = 1000
	// minBodyBytes is the size of the largest specification of a submission.
	minBodyBytes = 4000
)

// checker collects findings.
type checker struct{ findings []Finding }

func (c *checker) add(s Severity, at Position, entry, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Position: at, Entry: entry, Problem: fmt.Sprintf(format, args...)})
}

// Check returns the mistakes of a document, by place.
func Check(d *Document) []Finding {
	c := new(checker)
	c.checkQueues(d)
	c.checkServices(d)
	c.checkTenants(d)
	c.checkLimits(&d.Limits)
	Sort(c.findings)
	return c.findings
}

func (c *checker) checkQueues(d *Document) {
	names, places := make(map[string]bool), make(map[string]string)
	services := make(map[string]*Service)
	for i := range d.Services {
		services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Queues {
		q := &d.Queues[i]
		entry := fmt.Sprintf("queue %q", q.Name)
		if q.Name == "" {
			c.add(Error, q.At, entry, "has no name")
		} else if names[q.Name] {
			c.add(Error, q.At, entry, "has the name of an earlier queue")
		}
		names[q.Name] = true
		place := strings.ToLower(q.Host) + " " + q.PathPrefix
		if other, taken := places[place]; taken {
			c.add(Error, q.At, entry, "never matches: queue %q has the same host and path prefix and comes first", other)
		} else {
			places[place] = q.Name
		}
		c.checkPath(q, entry)
		switch s := services[q.Policy.Service]; {
		case q.Policy.Service == "":
			c.add(Error, q.At, entry, "names no service: its tasks never run")
		case s == nil:
			c.add(Error, q.At, entry, "names the service %q, which the manifest does not have: its tasks never run", q.Policy.Service)
		case s.Standby:
			c.add(Warning, q.At, entry, "names the service %q, whose workers are on standby: its tasks wait until that ends", q.Policy.Service)
		}
		c.checkTimes(q, entry)
		if q.Public && len(d.Tenants) == 0 {
			c.add(Warning, q.At, entry, "is public, which has no effect: without tenants no queue needs a key")
		}
	}
}

// checkPath looks for hosts and path prefixes that no call has.
func (c *checker) checkPath(q *Queue, entry string) {
	switch {
	case q.Host == "":
		c.add(Error, q.At, entry, "never matches: it has no host")
	case strings.ContainsAny(q.Host, ":/ "):
		c.add(Error, q.At, entry, "never matches: the host %q has a port, a path or a space, and calls are compared without them", q.Host)
	}
	switch {
	case !strings.HasPrefix(q.PathPrefix, "/"):
		c.add(Error, q.At, entry, "never matches: the path prefix %q does not begin with a slash", q.PathPrefix)
	case !strings.HasSuffix(q.PathPrefix, "/"):
		c.add(Warning, q.At, entry, "has the path prefix %q without a slash at its end: ids follow it directly", q.PathPrefix)
	}
	if strings.ContainsAny(q.PathPrefix, "?#") {
		c.add(Error, q.At, entry, "never matches: the path prefix %q has a character that ends a path", q.PathPrefix)
	}
}

// checkTimes looks for limits of a queue that contradict each other.
func (c *checker) checkTimes(q *Queue, entry string) {
	p := q.Policy
	if q.Timeout > 0 && q.Timeout < minTimeout {
		c.add(Error, q.At, entry, "has a timeout of %v, within which no submission is stored", q.Timeout)
	}
	switch {
	case p.SlackFactor == 0 && p.TargetCompletion == 0:
		c.add(Warning, q.At, entry, "has an objective of 0: each of its submissions counts as late")
	case p.SlackFactor < 1 && p.TargetCompletion == 0:
		c.add(Warning, q.At, entry, "has an objective of %g times the run time: each of its submissions is late", p.SlackFactor)
	}
	if p.MaxAttempts == 0 {
		c.add(Warning, q.At, entry, "has no limit of attempts: a task that always fails is run again without end")
	}
}

func (c *checker) checkServices(d *Document) {
	names, used := make(map[string]bool), make(map[string]bool)
	for i := range d.Queues {
		used[d.Queues[i].Policy.Service] = true
	}
	for _, s := range d.Services {
		entry := fmt.Sprintf("service %q", s.Name)
		switch {
		case s.Name == "":
			c.add(Error, s.At, entry, "has no name")
		case names[s.Name]:
			c.add(Error, s.At, entry, "has the name of an earlier service")
		case !used[s.Name] && !s.Standby:
			c.add(Warning, s.At, entry, "is used by no queue: its workers stay without work")
		}
		names[s.Name] = true
	}
}

func (c *checker) checkTenants(d *Document) {
	names, keys, anyKey := make(map[string]bool), make(map[workload.KeyDigest]string), false
	for i := range d.Tenants {
		t := &d.Tenants[i]
		entry := fmt.Sprintf("tenant %q", t.Name)
		if t.Name == "" {
			c.add(Error, t.At, entry, "has no name")
		} else if names[t.Name] {
			c.add(Error, t.At, entry, "has the name of an earlier tenant")
		}
		names[t.Name] = true
		if len(t.Keys) == 0 {
			c.add(Warning, t.At, entry, "has no key: it can call public queues only")
		}
		for _, key := range t.Keys {
			anyKey = true
			if key == workload.DigestOf("") {
				c.add(Error, t.At, entry, "has an empty key")
			}
			if other, taken := keys[key]; taken && other != t.Name {
				c.add(Error, t.At, entry, "has a key of tenant %q: calls with it can't be told apart", other)
			} else if taken {
				c.add(Warning, t.At, entry, "has a key twice")
			}
			keys[key] = t.Name
		}
		c.checkAmounts(t, entry)
	}
	if len(d.Tenants) == 0 || anyKey {
		return
	}
	for _, q := range d.Queues {
		if !q.Public {
			c.add(Error, q.At, fmt.Sprintf("queue %q", q.Name), "refuses each call: it needs a key, and no tenant has one")
		}
	}
}

func (c *checker) checkAmounts(t *Tenant, entry string) {
	switch {
	case !(t.Weight >= 0 && t.Weight <= workload.MaxWeight):
		c.add(Error, t.At, entry, "has the weight %g, want 0 to %g", t.Weight, float64(workload.MaxWeight))
	case t.Weight == 0:
		c.add(Warning, t.At, entry, "has no weight: it counts as %d", workload.DefaultWeight)
	}
	if cpu := t.Cap.MilliCPU; cpu > 0 && cpu < smallCap {
		c.add(Warning, t.At, entry, "has a cap of %d thousandths of a core: a task that requests more never runs", cpu)
	}
}

func (c *checker) checkLimits(l *Limits) {
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		c.add(Warning, l.At, "limits", "allow heads of %d bytes, less than ordinary clients send", l.HeaderBytes)
	}
	if l.BodyBytes > 0 && l.BodyBytes < minBodyBytes {
		c.add(Warning, l.At, "limits", "allow bodies of %d bytes, less than a specification of %d bytes needs", l.BodyBytes, minBodyBytes)
	}
	if l.HeaderTimeout > 0 && l.IdleTimeout > 0 && l.IdleTimeout < l.HeaderTimeout {
		c.add(Warning, l.At, "limits", "end idle connections after %v, before the %v that a head may take", l.IdleTimeout, l.HeaderTimeout)
	}
}
