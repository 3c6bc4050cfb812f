package scheduler

// aggressor is an attempt with the log slowdown that it is estimated to add.
type aggressor struct {
	attempt  *Attempt
	slowdown float64
}
