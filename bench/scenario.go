package bench

import "time"

// Scenario is the set of load changes, faults and operator actions of a run.
type Scenario struct {
	Name string
	// Waves adds periodic peaks in the load of services and in the interference
	// of batch tasks.
	Waves bool
	// WrongDeclarations increases the error of declared sizes and run times.
	WrongDeclarations bool
	// FaultyWorkers is the number of workers that fail every task.
	// ImpossibleJobs is the fraction of jobs whose tasks always fail.
	FaultyWorkers  int
	ImpossibleJobs float64
	// Flood increases the arrival rate; one team submits half of all jobs in
	// addition to its usual share of the others.
	Flood bool
	// RackLostAt is when a rack fails permanently, or 0.
	RackLostAt time.Duration
	// CancelAt is when most jobs are cancelled, or 0.
	CancelAt time.Duration
	// LogDownAt and LogUpAt are the start and the end of an outage of the log,
	// or 0.
	LogDownAt, LogUpAt time.Duration
	// TakeOutAt and BringBackAt are when a data centre is taken out and brought
	// back, or 0.
	TakeOutAt, BringBackAt time.Duration
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
		{Name: "log-outage", LogDownAt: 5 * minute, LogUpAt: 8 * minute},
		{Name: "dc-out", TakeOutAt: 4 * minute, BringBackAt: 8 * minute},
		{Name: "waves+dc-out", Waves: true, TakeOutAt: 4 * minute, BringBackAt: 8 * minute},
		{Name: "wrong+dc-out", WrongDeclarations: true, TakeOutAt: 4 * minute, BringBackAt: 8 * minute},
		{Name: "wrong+faulty", WrongDeclarations: true, FaultyWorkers: 3, ImpossibleJobs: 0.06},
	}
}
