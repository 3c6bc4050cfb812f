package entry

import (
	"maps"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
	"github.com/cactusreel/cactusreel/scheduler"
	"github.com/cactusreel/cactusreel/tasks"
)

// declaredJob is a service or job with the fields that placement needs.
type declaredJob struct {
	work     tasks.Work
	resource api.Resource
	team     string
	urgent   bool
	// pool is the name of the pool, or "" for all workers.
	pool string
}

// declaredWork is an immutable view of the resources that the cells of one data
// centre use. A new one is built for each new state of the store.
type declaredWork struct {
	offset int64
	// jobs holds services and jobs by key: "<name>/<version of the creation>".
	jobs  map[string]*declaredJob
	pools map[string]api.PoolSpec
	teams []api.Resource
	// weights are the weights of the policy's objectives.
	weights api.WeightsSpec
	// dataCentre is this VM's data centre; dataCentreDeclared is set if it is
	// declared.
	dataCentre         api.DataCentreSpec
	dataCentreDeclared bool
	// serviceChangedAt is when the data centre was last seen to enter or leave
	// service, on the local clock; 0 if not since the first view.
	serviceChangedAt time.Duration
	phase            scheduler.Phase
	// cellsInService is the number of cells of all data centres in service.
	cellsInService int
}

// defaultWeights apply while no weights are declared.
var defaultWeights = api.WeightsSpec{TailLatency: 50, DataCentreChanges: 50, Evictions: 50, Throughput: 50}

// returningPeriod is how long a data centre stays in the phase Returning after
// it was brought back.
const returningPeriod = 2 * time.Minute

// newDeclaredWork derives the declared work from a view of the store. previous
// is the last one, or nil.
func newDeclaredWork(v *resources.View, dataCentre string, now time.Duration, previous *declaredWork) *declaredWork {
	d := &declaredWork{
		offset:  v.Offset(),
		jobs:    declaredJobs(v, previous),
		pools:   make(map[string]api.PoolSpec),
		teams:   v.List(api.KindTeam),
		weights: defaultWeights,
	}
	for _, r := range v.List(api.KindPool) {
		d.pools[r.Name] = *r.Pool
	}
	if weights := v.List(api.KindWeights); len(weights) > 0 {
		d.weights = *weights[0].Weights
	}
	d.setDataCentre(v, dataCentre, now, previous)
	return d
}

// declaredJobs returns the services and jobs of a view. If the store still has
// the changes since previous, only these are derived again: deriving all 48,000
// jobs of a day took 0.1 s of processor time per record.
func declaredJobs(v *resources.View, previous *declaredWork) map[string]*declaredJob {
	if previous != nil {
		if changes, err := v.Events("", api.Version(previous.offset)); err == nil {
			return changedJobs(previous.jobs, changes)
		}
	}
	jobs := make(map[string]*declaredJob)
	for _, kind := range []api.Kind{api.KindService, api.KindJob} {
		for _, r := range v.List(kind) {
			j := newDeclaredJob(r)
			jobs[jobKey(j.work)] = j
		}
	}
	return jobs
}

// changedJobs returns a copy of jobs with the changes applied.
func changedJobs(jobs map[string]*declaredJob, changes []resources.Event) map[string]*declaredJob {
	jobs = maps.Clone(jobs)
	for _, change := range changes {
		j := newDeclaredJob(*change.Resource)
		switch {
		case j == nil:
		case change.Type == resources.EventDelete:
			delete(jobs, jobKey(j.work))
		default:
			jobs[jobKey(j.work)] = j
		}
	}
	return jobs
}

// newDeclaredJob returns the declaredJob of a service or job, or nil for a
// resource of another kind.
func newDeclaredJob(r api.Resource) *declaredJob {
	switch r.Kind {
	case api.KindService:
		return &declaredJob{work: serviceWork(r), resource: r, team: r.Service.Team, urgent: true, pool: r.Service.Pool}
	case api.KindJob:
		return &declaredJob{work: jobWork(r), resource: r, team: r.Job.Team, urgent: r.Job.Priority == api.PriorityUrgent, pool: r.Job.Pool}
	}
	return nil
}

// setDataCentre sets the state and the phase of this VM's data centre.
func (d *declaredWork) setDataCentre(v *resources.View, dataCentre string, now time.Duration, previous *declaredWork) {
	for _, r := range v.List(api.KindDataCentre) {
		if r.DataCentre.InService {
			d.cellsInService += r.DataCentre.Cells
		}
	}
	r, ok := v.Get(api.KindDataCentre, dataCentre)
	if !ok {
		d.phase = scheduler.OutOfService
		return
	}
	d.dataCentreDeclared = true
	d.dataCentre = *r.DataCentre
	d.serviceChangedAt = now
	d.phase = scheduler.InService
	if !d.dataCentre.InService {
		d.phase = scheduler.Draining
	}
	if previous == nil || !previous.dataCentreDeclared {
		d.serviceChangedAt = 0
		return
	}
	if previous.dataCentre.InService == d.dataCentre.InService {
		d.serviceChangedAt = previous.serviceChangedAt
	}
	if d.dataCentre.InService && d.serviceChangedAt > 0 {
		d.phase = scheduler.Returning
	}
}

// placingAllowed reports whether tasks may start in this VM's data centre.
func (d *declaredWork) placingAllowed() bool {
	return d.dataCentreDeclared && d.dataCentre.InService
}

// schedulerDataCentre returns the state of the data centre for the policy.
func (d *declaredWork) schedulerDataCentre(now time.Duration) scheduler.DataCentre {
	phase := d.phase
	if phase == scheduler.Returning && now-d.serviceChangedAt > returningPeriod {
		phase = scheduler.InService
	}
	deadline := d.serviceChangedAt + time.Duration(d.dataCentre.DrainSeconds)*time.Second
	return scheduler.DataCentre{Phase: phase, Since: d.serviceChangedAt, Deadline: deadline}
}

// jobKey returns "<name>/<version of the creation>".
func jobKey(w tasks.Work) string {
	return jobKeyOfTask(w.TaskID(0))
}

func serviceWork(r api.Resource) tasks.Work {
	return tasks.Work{
		Kind:        api.KindService,
		Name:        r.Name,
		Created:     r.Created,
		Count:       r.Service.Replicas,
		TaskKind:    r.Service.TaskKind,
		Requests:    r.Service.Requests,
		DataCentres: homeDataCentres(r),
	}
}

func jobWork(r api.Resource) tasks.Work {
	return tasks.Work{
		Kind:        api.KindJob,
		Name:        r.Name,
		Created:     r.Created,
		Count:       r.Job.Tasks,
		Cancelled:   r.Job.Cancelled,
		MaxRetries:  r.Job.MaxRetries,
		TaskKind:    r.Job.TaskKind,
		Requests:    r.Job.Requests,
		RunTime:     time.Duration(r.Job.RunSeconds) * time.Second,
		DataCentres: homeDataCentres(r),
	}
}

func homeDataCentres(r api.Resource) []tasks.DataCentre {
	list := make([]tasks.DataCentre, 0, len(r.Homes))
	for _, h := range r.Homes {
		list = append(list, tasks.DataCentre{Name: h.DataCentre, Cells: h.Cells})
	}
	return list
}
