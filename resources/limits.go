package resources

// Default limits. At 5,400 changes per day they retain the outcomes of about
// 36 hours and the events of about 18 hours.
const (
	DefaultOutcomes = 8192
	DefaultEvents   = 4096
)

// Limits bounds the outcomes and events that a Store retains.
type Limits struct {
	// Outcomes is the number of operation outcomes retained to detect
	// duplicates. It must be the same at all readers of a log, because it
	// determines whether a late duplicate takes effect. 0 means DefaultOutcomes.
	Outcomes int
	// Events is the number of events retained for watches. 0 means DefaultEvents.
	Events int
}

func (l Limits) withDefaults() Limits {
	if l.Outcomes <= 0 {
		l.Outcomes = DefaultOutcomes
	}
	if l.Events <= 0 {
		l.Events = DefaultEvents
	}
	return l
}
