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

// refreshWorkers passes the workers of the cell to the machine. A worker is
// leaving if either the VM list or its backend server reports it.
func (r *cellRunner) refreshWorkers() {
	list, leaving := r.host.vmList(), r.host.leavingServers()
	if list == r.vmList && maps.Equal(leaving, r.leavingServers) {
		return
	}
	r.vmList, r.leavingServers = list, leaving
	workers := list.workersOfCell(r.cell.Index, r.host.cellCount())
	for i := range workers {
		if _, reported := leaving[workers[i].ID]; reported {
			workers[i].Leaving = true
		}
	}
	r.step(tasks.WorkersListed{Workers: workers})
}

// syncDeclaredWork passes new and changed work to the machine, then removes
// deleted work, then reports that the declared work is complete up to its
// offset.
func (r *cellRunner) syncDeclaredWork(d *declaredWork) {
	for key, job := range d.jobs {
		applied, ok := r.appliedWork[key]
		if ok && applied.version == job.resource.Version {
			continue
		}
		r.appliedWork[key] = appliedVersion{version: job.resource.Version, work: job.work}
		r.step(tasks.WorkChanged{Work: job.work})
	}
	for key, applied := range r.appliedWork {
		if _, ok := d.jobs[key]; ok {
			continue
		}
		delete(r.appliedWork, key)
		r.policy.ForgetJob(key)
		r.step(tasks.WorkChanged{Work: applied.work, Deleted: true})
	}
	r.step(tasks.WorkThrough{Version: api.Version(d.offset)})
}

// jobKeyOfTask returns the key of the job or service of a task id:
// "<name>/<version of the creation>".
func jobKeyOfTask(task string) string {
	i := strings.LastIndexByte(task, '/')
	if i < 0 {
		return task
	}
	return task[:i]
}
