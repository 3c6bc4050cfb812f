package capacity

import "time"

// Numbers of the planned scale (design 1.4 and 3.4).
const (
	dataCentres    = 11
	cellsPerCentre = 16
	entryVMs       = 110
	workersPerCell = 45
	teams          = 130
	vmsPerCentre   = entryVMs / dataCentres
	interDelay     = 5 * time.Millisecond
	packetLoss     = 0.01
	logPoll        = 250 * time.Millisecond
	logReadLatency = 10 * time.Millisecond
)
