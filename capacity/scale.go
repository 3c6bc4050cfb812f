package capacity

import "time"

// Sizes and network properties of the planned scale (design 1.4 and 3.4).
const (
	dataCentres           = 11
	cellsPerDataCentre    = 16
	entryVMs              = 110
	workersPerCell        = 45
	teams                 = 130
	entryVMsPerDataCentre = entryVMs / dataCentres
	interCentreDelay      = 5 * time.Millisecond
	packetLoss            = 0.01
	logPoll               = 250 * time.Millisecond
	logReadLatency        = 10 * time.Millisecond
)
