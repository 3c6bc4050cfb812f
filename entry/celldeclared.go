package entry

import (
	"maps"
	"strings"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/tasks"
)

// refreshDeclared passes changes of the declared work and of the VM list to
// the machine.
func (r *cellRunner) refreshDeclared() {
	r.refreshWorkers()
	d := r.host.declaredWork()
	if d == nil || d.offset == r.declaredAt {
		return
	}
	r.declaredAt = d.offset
	r.passWork(d)
	if d.placing() != r.placing {
		r.placing = d.placing()
		r.step(tasks.PlacingChanged{Allowed: r.placing})
	}
}

// refreshWorkers passes the workers of the cell to the machine. Either source
// suffices to take a worker as leaving: the VM list or the server's own word.
func (r *cellRunner) refreshWorkers() {
	list, leaving := r.host.workerList(), r.host.leavingServers()
	if list == r.listed && maps.Equal(leaving, r.leaving) {
		return
	}
	r.listed, r.leaving = list, leaving
	workers := list.cell(r.cell.Index, r.host.cellCount())
	for i := range workers {
		if _, says := leaving[workers[i].ID]; says {
			workers[i].Leaving = true
		}
	}
	r.step(tasks.WorkersListed{Workers: workers})
}

// passWork declares new and changed work, drops deleted work, and then says
// that the declaration is complete.
func (r *cellRunner) passWork(d *declaredWork) {
	for key, job := range d.jobs {
		known, ok := r.declared[key]
		if ok && known.version == job.resource.Version {
			continue
		}
		r.declared[key] = declaredVersion{version: job.resource.Version, work: job.work}
		r.step(tasks.WorkChanged{Work: job.work})
	}
	for key, known := range r.declared {
		if _, ok := d.jobs[key]; ok {
			continue
		}
		delete(r.declared, key)
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
