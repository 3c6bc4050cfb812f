package settings

import "slices"

// constraint is a condition that several times must satisfy together. Its
// mistake names the first of its keys.
type constraint struct {
	keys      []string
	satisfied func(t Times) bool
	// accepted says what the constraint requires of the first key.
	accepted string
}

// constraints lists what design section 3 relies on.
var constraints = []constraint{
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

// checkConstraints reports each constraint that is not satisfied. It skips those
// that involve a time which already has a mistake, because their result would be
// meaningless.
func (l *loader) checkConstraints() {
	previous := l.mistakes
	for _, c := range constraints {
		if previous.concernAny("times", c.keys) || c.satisfied(l.entry.Times) {
			continue
		}
		l.addMistake("times", c.keys[0], "the value is "+l.timeText(c.keys[0]), c.accepted)
	}
	if l.entry.ListenCallers != "" && l.entry.ListenCallers == l.entry.ListenPeers {
		l.addMistake("listen", "peers", "the value is "+quoted(l.entry.ListenPeers), "another address than callers")
	}
}

// concernAny reports whether a mistake concerns one of the keys of a section.
func (m Mistakes) concernAny(section string, keyNames []string) bool {
	return slices.ContainsFunc(m, func(m Mistake) bool {
		return m.Section == section && slices.Contains(keyNames, m.Key)
	})
}

// timeText returns the value of a key in section [times] as written in the file,
// or else its default.
func (l *loader) timeText(name string) string {
	if s, err := l.file.GetSection("times"); err == nil && s.HasKey(name) {
		return s.Key(name).Value()
	}
	i := slices.IndexFunc(keys(), func(k key) bool { return k.section == "times" && k.name == name })
	return keys()[i].defaultValue + " (default)"
}
