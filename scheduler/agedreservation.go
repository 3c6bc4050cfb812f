package scheduler

// agedReservation names the aged task for which the free capacity of a worker is
// reserved.
type agedReservation struct {
	task   string
	worker string
}
