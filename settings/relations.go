package settings

import "slices"

// relation is a rule between times. The report names the first of its keys.
type relation struct {
	keys []string
	ok   func(t Times) bool
	// accepted says what the rule requires of the first key.
	accepted string
}

// relations lists the rules that design section 3 relies on.
var relations = []relation{
	{[]string{"owner_renewal", "owner_lease"}, func(t Times) bool { return 3*t.OwnerRenewal <= t.OwnerLease }, "at most a third of owner_lease"},
	{[]string{"task_renewal", "task_lease"}, func(t Times) bool { return 3*t.TaskRenewal <= t.TaskLease }, "at most a third of task_lease"},
	{[]string{"log_poll", "freshness"}, func(t Times) bool { return 4*t.LogPoll <= t.Freshness }, "at most a quarter of freshness"},
	{[]string{"freshness", "owner_lease"}, func(t Times) bool { return t.Freshness <= t.OwnerLease }, "at most owner_lease"},
	{[]string{"promise", "owner_lease"}, func(t Times) bool { return t.Promise <= t.OwnerLease }, "at most owner_lease"},
	{[]string{"known_gone", "owner_lease"}, func(t Times) bool { return 10*t.KnownGone >= 11*t.OwnerLease }, "at least 1.1 times owner_lease"},
	{[]string{"offline_tasks", "task_lease"}, func(t Times) bool { return t.OfflineTasks >= t.TaskLease }, "at least task_lease"},
	{[]string{"progress", "max_request"}, func(t Times) bool { return t.Progress < t.MaxRequest }, "less than max_request"},
	{[]string{"request_id_retention", "max_request"}, func(t Times) bool { return t.RequestIDRetention >= 2*t.MaxRequest }, "at least twice max_request"},
	{[]string{"stop_deadline", "balancer_delay", "max_request"}, func(t Times) bool { return t.StopDeadline >= t.BalancerDelay+t.MaxRequest }, "at least balancer_delay plus max_request"},
}

// checkRelations reports each broken rule. A rule that involves a time that is
// wrong by itself is left out, because its result would mean nothing.
func (l *loader) checkRelations() {
	values := l.mistakes
	for _, r := range relations {
		if values.name("times", r.keys) || r.ok(l.entry.Times) {
			continue
		}
		l.add("times", r.keys[0], "the value is "+l.timeOf(r.keys[0]), r.accepted)
	}
	if l.entry.ListenCallers != "" && l.entry.ListenCallers == l.entry.ListenPeers {
		l.add("listen", "peers", "the value is "+quote(l.entry.ListenPeers), "another address than callers")
	}
}

// name reports whether a mistake names one of the keys.
func (m Mistakes) name(section string, names []string) bool {
	return slices.ContainsFunc(m, func(m Mistake) bool {
		return m.Section == section && slices.Contains(names, m.Key)
	})
}

// timeOf returns the value of a key as the file or the table of keys states it.
func (l *loader) timeOf(name string) string {
	if s, err := l.file.GetSection("times"); err == nil && s.HasKey(name) {
		return s.Key(name).Value()
	}
	i := slices.IndexFunc(keys(), func(k key) bool { return k.section == "times" && k.name == name })
	return keys()[i].preset + " (default)"
}
