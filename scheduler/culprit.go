package scheduler

// culprit is an attempt with the log slowdown that it is estimated to add.
type culprit struct {
	attempt *Attempt
	harm    float64
}
