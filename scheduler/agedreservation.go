package scheduler

// agedReservation is the task for which a worker's room is kept.
type agedReservation struct {
	task   string
	worker string
}
