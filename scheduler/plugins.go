package scheduler

// plugins are the enabled rules of a policy, by extension point.
type plugins struct {
	filters  []Filter
	scores   []Score
	reserves []Reserve
}
