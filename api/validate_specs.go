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
	v.between("service.replicas", int64(s.Replicas), 0, MaxReplicas)
	v.demand("service.requests", s.Requests)
	v.between("service.targetP99Millis", s.TargetP99Millis, 1, MaxTargetP99Millis)
	v.between("service.maxRequestMillis", s.MaxRequestMillis, MinRequestMillis, MaxRequestMillis)
	v.progress(s)
	v.between("service.maxBodyBytes", s.MaxBodyBytes, 0, MaxServiceBodyBytes)
	v.methods(s.IdempotentMethods)
	switch s.Criticality {
	case CriticalityHigh, CriticalityNormal, CriticalityLow:
	default:
		v.add("service.criticality", show(string(s.Criticality)), "high, normal or low")
	}
}

// progress requires a progress timeout below the maximum request time, which
// design section 3.10 relies on.
func (v *validator) progress(s *ServiceSpec) {
	if s.ProgressMillis < 1 || s.ProgressMillis >= s.MaxRequestMillis {
		v.add("service.progressMillis", show(s.ProgressMillis), "1 or more and less than maxRequestMillis")
	}
}

// methods rejects an empty list: it would be encoded as no list at all, which
// means the standard methods.
func (v *validator) methods(methods []string) {
	if methods != nil && len(methods) == 0 {
		v.add("service.idempotentMethods", "an empty list", "1 to 16 methods, or no such field")
	}
	v.unique("service.idempotentMethods", methods, MaxMethods, methodPattern, methodAccepted)
}

func (v *validator) job(j *JobSpec) {
	v.name("job.team", j.Team)
	v.name("job.taskKind", j.TaskKind)
	v.optionalName("job.pool", j.Pool)
	v.between("job.tasks", int64(j.Tasks), 1, MaxTasks)
	v.demand("job.requests", j.Requests)
	switch j.Priority {
	case PriorityUrgent, PriorityOrdinary:
	default:
		v.add("job.priority", show(string(j.Priority)), "urgent or ordinary")
	}
	v.between("job.runSeconds", j.RunSeconds, 1, MaxRunSeconds)
	v.between("job.maxRetries", int64(j.MaxRetries), 1, MaxRetries)
}

func (v *validator) pool(p *PoolSpec) {
	v.unique("pool.dataCentres", p.DataCentres, MaxPoolDataCentres, namePattern, nameAccepted)
	v.unique("pool.workers", p.Workers, MaxPoolWorkers, vmIDPattern, vmIDAccepted)
}

func (v *validator) dataCentre(d *DataCentreSpec) {
	v.between("dataCentre.cells", int64(d.Cells), 1, MaxCells)
	v.between("dataCentre.drainSeconds", d.DrainSeconds, 1, MaxDrainSeconds)
}

func (v *validator) team(t *TeamSpec) {
	v.between("team.quota.milliCPU", t.Quota.MilliCPU, 0, MaxQuotaMilliCPU)
	v.between("team.quota.memoryMiB", t.Quota.MemoryMiB, 0, MaxQuotaMemoryMiB)
	v.between("team.quota.accelerators", t.Quota.Accelerators, 0, MaxQuotaAccelerators)
}

// weights rejects four zeros, which would leave the policy without an objective.
func (v *validator) weights(w *WeightsSpec) {
	v.between("weights.tailLatency", int64(w.TailLatency), 0, MaxWeight)
	v.between("weights.dataCentreChanges", int64(w.DataCentreChanges), 0, MaxWeight)
	v.between("weights.evictions", int64(w.Evictions), 0, MaxWeight)
	v.between("weights.throughput", int64(w.Throughput), 0, MaxWeight)
	if *w == (WeightsSpec{}) {
		v.add("weights", "all 0", "at least one weight above 0")
	}
}
