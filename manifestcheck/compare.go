package manifestcheck

import (
	"fmt"
	"strings"

	"github.com/cactusreel/cactusreel/workload"
)

// Change is a difference between two versions, with what it takes effect on.
type Change struct {
	// Entry names the entry, such as queue "orders".
	Entry string `json:"entry"`
	// Change says what differs.
	Change string `json:"change"`
	// Effect says what the change takes effect on.
	Effect string `json:"effect"`
}

// String returns the change as a line.
func (c Change) String() string { return fmt.Sprintf("%s: %s (%s)", c.Entry, c.Change, c.Effect) }

// Effects of changes.
const (
	effectCalls    = "calls from now on"
	effectAccepted = "submissions that are accepted from now on; accepted ones keep what they had"
	effectStarts   = "starts from now on; what runs is not stopped"
)

// comparison collects changes.
type comparison struct{ changes []Change }

func (c *comparison) add(entry, effect, format string, args ...any) {
	c.changes = append(c.changes, Change{Entry: entry, Change: fmt.Sprintf(format, args...), Effect: effect})
}

// Compare returns what differs between the version in force and a new one, and a finding if the
// new one would not replace it.
func Compare(inForce, next *Document) ([]Change, []Finding) {
	c, findings := new(comparison), new(checker)
	if next.Version <= inForce.Version {
		findings.add(Error, Position{Line: 1, Column: 1}, "manifest", "has the version %d, and %d is in force: it would be ignored", next.Version, inForce.Version)
	}
	c.compareQueues(inForce, next)
	c.compareServices(inForce, next)
	c.compareTenants(inForce, next)
	if old, now := inForce.Limits, next.Limits; old.BodyBytes != now.BodyBytes {
		c.add("limits", effectCalls, "bodies of %d bytes, %d before", now.BodyBytes, old.BodyBytes)
	}
	return c.changes, findings.findings
}

func (c *comparison) compareQueues(inForce, next *Document) {
	old := make(map[string]*Queue)
	for i := range inForce.Queues {
		old[inForce.Queues[i].Name] = &inForce.Queues[i]
	}
	for i := range next.Queues {
		q := &next.Queues[i]
		entry := fmt.Sprintf("queue %q", q.Name)
		before := old[q.Name]
		if before == nil {
			c.add(entry, effectCalls, "added at %s%s", q.Host, q.PathPrefix)
			continue
		}
		delete(old, q.Name)
		if changes := callChanges(before, q); len(changes) > 0 {
			c.add(entry, effectCalls, "%s", strings.Join(changes, ", "))
		}
		if changes := policyChanges(before.Policy, q.Policy); len(changes) > 0 {
			c.add(entry, effectAccepted, "%s", strings.Join(changes, ", "))
		}
	}
	for _, q := range inForce.Queues {
		if old[q.Name] != nil {
			c.add(fmt.Sprintf("queue %q", q.Name), effectCalls, "removed from %s%s; accepted submissions go on", q.Host, q.PathPrefix)
		}
	}
}

// changed appends the change of a field if it has one.
func changed[T comparable](list []string, name string, before, now T) []string {
	if before == now {
		return list
	}
	return append(list, fmt.Sprintf("%s %v, %v before", name, now, before))
}

func callChanges(before, now *Queue) []string {
	list := changed(nil, "host", before.Host, now.Host)
	list = changed(list, "path prefix", before.PathPrefix, now.PathPrefix)
	list = changed(list, "timeout", before.Timeout, now.Timeout)
	list = changed(list, "public", before.Public, now.Public)
	return changed(list, "advisor", before.HasAdvisor, now.HasAdvisor)
}

func policyChanges(before, now workload.Policy) []string {
	list := changed(nil, "service", before.Service, now.Service)
	list = changed(list, "priority", before.Priority, now.Priority)
	list = changed(list, "attempts", before.MaxAttempts, now.MaxAttempts)
	list = changed(list, "slack factor", before.SlackFactor, now.SlackFactor)
	return changed(list, "target", before.TargetCompletion, now.TargetCompletion)
}

func (c *comparison) compareServices(inForce, next *Document) {
	old := make(map[string]Service)
	for _, s := range inForce.Services {
		old[s.Name] = s
	}
	for _, s := range next.Services {
		entry := fmt.Sprintf("service %q", s.Name)
		before, known := old[s.Name]
		delete(old, s.Name)
		if !known {
			c.add(entry, effectStarts, "added")
		} else if before.Standby != s.Standby {
			c.add(entry, effectStarts, "standby %v, %v before", s.Standby, before.Standby)
		}
	}
	for _, s := range inForce.Services {
		if _, gone := old[s.Name]; gone {
			c.add(fmt.Sprintf("service %q", s.Name), effectStarts, "removed")
		}
	}
}

// compareTenants names tenants and numbers of keys, and no keys.
func (c *comparison) compareTenants(inForce, next *Document) {
	old, now := tenantsOf(inForce), tenantsOf(next)
	changes := workload.CompareTenants(old, now)
	for _, name := range changes.Added {
		c.add(fmt.Sprintf("tenant %q", name), effectCalls, "added with %d keys", len(now.Find(name).Keys))
	}
	for _, name := range changes.Removed {
		c.add(fmt.Sprintf("tenant %q", name), effectCalls, "removed with %d keys; its accepted submissions go on", len(old.Find(name).Keys))
	}
	for _, name := range changes.Rekeyed {
		c.add(fmt.Sprintf("tenant %q", name), effectCalls, "%d keys added, %d removed", now.KeysNotIn(old, name), old.KeysNotIn(now, name))
	}
	for _, name := range changes.Resized {
		before, after := old.Find(name), now.Find(name)
		list := changed(nil, "weight", before.Weight, after.Weight)
		list = changed(list, "cap", before.Cap, after.Cap)
		c.add(fmt.Sprintf("tenant %q", name), effectStarts, "%s", strings.Join(list, ", "))
	}
}

func tenantsOf(d *Document) workload.Tenants {
	list := make([]workload.Tenant, len(d.Tenants))
	for i := range d.Tenants {
		list[i] = d.Tenants[i].Tenant
	}
	return workload.NewTenants(list)
}
