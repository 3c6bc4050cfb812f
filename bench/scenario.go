package bench

import "time"

// Scenario is a set of faults of one run.
type Scenario struct {
	Name string
	// Waves of load on services and noisy batch tasks.
	Waves bool
	// WrongDeclarations makes declared sizes and run times far off.
	WrongDeclarations bool
	// FaultyWorkers is how many workers fail every task; ImpossibleJobs is the
	// share of jobs that can never run.
	FaultyWorkers  int
	ImpossibleJobs float64
	// Flood makes one team submit as much as all others together.
	Flood bool
	// RackLostAt is when a rack is lost for good, or 0.
	RackLostAt time.Duration
	// CancelAt is when most jobs are cancelled, or 0.
	CancelAt time.Duration
	// LogDown and LogUp bound an outage of the log, or are 0.
	LogDown, LogUp time.Duration
	// OutAt and BackAt are when a data centre is taken out and brought back, or 0.
	OutAt, BackAt time.Duration
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	const minute = time.Minute
	return []Scenario{
		{Name: "calm"},
		{Name: "waves", Waves: true},
		{Name: "wrong", WrongDeclarations: true},
		{Name: "faulty", FaultyWorkers: 3, ImpossibleJobs: 0.06},
		{Name: "flood", Flood: true},
		{Name: "rack-loss", RackLostAt: 5 * minute},
		{Name: "cancel", CancelAt: 5 * minute},
		{Name: "log-outage", LogDown: 5 * minute, LogUp: 8 * minute},
		{Name: "dc-out", OutAt: 4 * minute, BackAt: 8 * minute},
		{Name: "waves+dc-out", Waves: true, OutAt: 4 * minute, BackAt: 8 * minute},
		{Name: "wrong+dc-out", WrongDeclarations: true, OutAt: 4 * minute, BackAt: 8 * minute},
		{Name: "wrong+faulty", WrongDeclarations: true, FaultyWorkers: 3, ImpossibleJobs: 0.06},
	}
}
