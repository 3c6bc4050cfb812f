package entry

import (
	"maps"
	"strings"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/tasks"
)

// refreshDeclaredWork passes changes of the declared work and of the VM list to
// the machine.
func (r *cellRunner) refreshDeclaredWork() {
	r.refreshWorkers()
	d := r.host.declaredWork()
	if d == nil || d.offset == r.declaredOffset {
		return
	}
	r.declaredOffset = d.offset
	r.syncDeclaredWork(d)
	if d.placingAllowed() != r.placingAllowed {
		r.placingAllowed = d.placingAllowed()
		r.step(tasks.PlacingChanged{Allowed: r.placingAllowed})
	}
}

// refreshWorkers passes the workers of the cell to the machine. Either source
// suffices to take a worker as leaving: the VM list or the server's own word.
func (r *cellRunner) refreshWorkers() {
	list, leaving := r.host.workerList(), r.host.leavingServers()
	if list == r.workerList && maps.Equal(leaving, r.leavingServers) {
		return
	}
	r.workerList, r.leavingServers = list, leaving
	workers := list.workersOfCell(r.cell.Index, r.host.cellCount())
	for i := range workers {
		if _, says := leaving[workers[i].ID]; says {
			workers[i].Leaving = true
		}
	}
	r.step(tasks.WorkersListed{Workers: workers})
}

// syncDeclaredWork declares new and changed work, drops deleted work, and then says
// that the declaration is complete.
func (r *cellRunner) syncDeclaredWork(d *declaredWork) {
	for key, job := range d.jobs {
		known, ok := r.appliedWork[key]
		if ok && known.version == job.resource.Version {
			continue
		}
		r.appliedWork[key] = appliedVersion{version: job.resource.Version, work: job.work}
		r.step(tasks.WorkChanged{Work: job.work})
	}
	for key, known := range r.appliedWork {
		if _, ok := d.jobs[key]; ok {
			continue
		}
		delete(r.appliedWork, key)
		r.policy.ForgetJob(key)
		r.step(tasks.WorkChanged{Work: known.work, Deleted: true})
	}
	r.step(tasks.WorkThrough{Version: api.Version(d.offset)})
}

// jobKeyOfTask returns the job part of a task id: "<name>/<version of the creation>".
func jobKeyOfTask(task string) string {
	i := strings.LastIndexByte(task, '/')
	if i < 0 {
		return task
	}
	return task[:i]
}
