package scheduler

// aggressor is an attempt with the log slowdown that it is estimated to add to a
// service.
type aggressor struct {
	attempt  *Attempt
	slowdown float64
}
