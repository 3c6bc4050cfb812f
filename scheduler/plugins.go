package scheduler

// plugins are the rules of one policy by extension point.
type plugins struct {
	filters  []Filter
	scores   []Score
	reserves []Reserve
}
