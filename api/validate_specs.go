package api

func (v *validator) specs(r *Resource) {
	if r.Service != nil {
		v.service(r.Service)
	}
	if r.Job != nil {
		v.job(r.Job)
	}
	if r.Pool != nil {
		v.pool(r.Pool)
	}
	if r.DataCentre != nil {
		v.dataCentre(r.DataCentre)
	}
	if r.Team != nil {
		v.team(r.Team)
	}
	if r.Weights != nil {
		v.weights(r.Weights)
	}
}

func (v *validator) service(s *ServiceSpec) {
	v.name("service.team", s.Team)
	v.name("service.taskKind", s.TaskKind)
	v.optionalName("service.pool", s.Pool)
	v.inRange("service.replicas", int64(s.Replicas), 0, MaxReplicas)
	v.taskRequests("service.requests", s.Requests)
	v.inRange("service.targetP99Millis", s.TargetP99Millis, 1, MaxTargetP99Millis)
	v.inRange("service.maxRequestMillis", s.MaxRequestMillis, MinRequestMillis, MaxRequestMillis)
	v.progressTimeout(s)
	v.inRange("service.maxBodyBytes", s.MaxBodyBytes, 0, MaxServiceBodyBytes)
	v.idempotentMethods(s.IdempotentMethods)
	switch s.Criticality {
	case CriticalityHigh, CriticalityNormal, CriticalityLow:
	default:
		v.addFault("service.criticality", formatValue(string(s.Criticality)), "high, normal or low")
	}
}

// progressTimeout requires a progress timeout below the maximum request time,
// which design section 3.10 relies on.
func (v *validator) progressTimeout(s *ServiceSpec) {
	if s.ProgressMillis < 1 || s.ProgressMillis >= s.MaxRequestMillis {
		v.addFault("service.progressMillis", formatValue(s.ProgressMillis), "1 or more and less than maxRequestMillis")
	}
}

// idempotentMethods rejects an empty list, because it would be encoded as an
// absent field, which means the standard methods.
func (v *validator) idempotentMethods(methods []string) {
	if methods != nil && len(methods) == 0 {
		v.addFault("service.idempotentMethods", "an empty list", "1 to 16 methods, or no such field")
	}
	v.uniqueItems("service.idempotentMethods", methods, MaxMethods, methodPattern, methodAccepted)
}

func (v *validator) job(j *JobSpec) {
	v.name("job.team", j.Team)
	v.name("job.taskKind", j.TaskKind)
	v.optionalName("job.pool", j.Pool)
	v.inRange("job.tasks", int64(j.Tasks), 1, MaxTasks)
	v.taskRequests("job.requests", j.Requests)
	switch j.Priority {
	case PriorityUrgent, PriorityOrdinary:
	default:
		v.addFault("job.priority", formatValue(string(j.Priority)), "urgent or ordinary")
	}
	v.inRange("job.runSeconds", j.RunSeconds, 1, MaxRunSeconds)
	v.inRange("job.maxRetries", int64(j.MaxRetries), 1, MaxRetries)
}

func (v *validator) pool(p *PoolSpec) {
	v.uniqueItems("pool.dataCentres", p.DataCentres, MaxPoolDataCentres, namePattern, nameAccepted)
	v.uniqueItems("pool.workers", p.Workers, MaxPoolWorkers, vmIDPattern, vmIDAccepted)
}

func (v *validator) dataCentre(d *DataCentreSpec) {
	v.inRange("dataCentre.cells", int64(d.Cells), 1, MaxCells)
	v.inRange("dataCentre.drainSeconds", d.DrainSeconds, 1, MaxDrainSeconds)
}

func (v *validator) team(t *TeamSpec) {
	v.inRange("team.quota.milliCPU", t.Quota.MilliCPU, 0, MaxQuotaMilliCPU)
	v.inRange("team.quota.memoryMiB", t.Quota.MemoryMiB, 0, MaxQuotaMemoryMiB)
	v.inRange("team.quota.accelerators", t.Quota.Accelerators, 0, MaxQuotaAccelerators)
}

// weights rejects weights that are all 0, because the policy would have no
// objective.
func (v *validator) weights(w *WeightsSpec) {
	v.inRange("weights.tailLatency", int64(w.TailLatency), 0, MaxWeight)
	v.inRange("weights.dataCentreChanges", int64(w.DataCentreChanges), 0, MaxWeight)
	v.inRange("weights.evictions", int64(w.Evictions), 0, MaxWeight)
	v.inRange("weights.throughput", int64(w.Throughput), 0, MaxWeight)
	if *w == (WeightsSpec{}) {
		v.addFault("weights", "all 0", "at least one weight above 0")
	}
}
