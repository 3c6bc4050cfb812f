package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

// Limits of the deletion of finished jobs. At 48,000 jobs a day, 34 jobs finish
// per minute; one step can check 10 times as many.
const (
	cleanupInterval = time.Minute
	cleanupBatch    = 340
)

// jobCleanup deletes jobs some time after they have finished; otherwise the
// resource store and its snapshots would grow with every job ever declared.
// Only the goroutine of its loop uses it.
type jobCleanup struct {
	node *Node
	// finishedAt is when a job was first seen finished, by name and version.
	finishedAt map[jobVersion]time.Duration
	// lastName is the name of the last job of the previous step, or "" to start
	// from the first job.
	lastName string
}

type jobVersion struct {
	name    string
	version api.Version
}

func newJobCleanup(n *Node) *jobCleanup {
	return &jobCleanup{node: n, finishedAt: make(map[jobVersion]time.Duration)}
}

// step checks one batch of jobs and deletes those that finished long enough
// ago. Only the VM that writes the snapshots of the resources does this.
func (c *jobCleanup) step(ctx context.Context) {
	if !c.node.isSnapshotWriter(false) || c.node.Ready() != nil {
		return
	}
	jobs := c.nextBatch()
	if len(jobs) == 0 {
		return
	}
	statuses, err := (&statusSource{node: c.node}).Statuses(ctx, jobs)
	if err != nil {
		return
	}
	now := c.node.clock()
	for i, job := range jobs {
		key := jobVersion{job.Name, job.Version}
		if !jobFinished(job, statuses[i]) {
			delete(c.finishedAt, key)
			continue
		}
		if c.due(key, now, c.node.settings.Times.FinishedJobs) && c.deleteJob(ctx, job) {
			c.deleted(key)
		}
	}
}

// due records that a job is finished, and reports whether it has been for the retention.
func (c *jobCleanup) due(job jobVersion, now, retention time.Duration) bool {
	since, known := c.finishedAt[job]
	if !known {
		c.finishedAt[job] = now
		return false
	}
	return now-since >= retention
}

// deleted forgets a job that was deleted or changed.
func (c *jobCleanup) deleted(job jobVersion) { delete(c.finishedAt, job) }

// nextBatch returns the next jobs in the order of their names, starting over
// after the last one.
func (c *jobCleanup) nextBatch() []api.Resource {
	all := c.node.feed.store.View().List(api.KindJob)
	first := 0
	for first < len(all) && all[first].Name <= c.lastName {
		first++
	}
	jobs := all[first:min(first+cleanupBatch, len(all))]
	c.lastName = ""
	if first+cleanupBatch < len(all) {
		c.lastName = jobs[len(jobs)-1].Name
	}
	return jobs
}

// jobFinished reports whether no task of a job runs or will run. A cell that
// did not answer may have tasks.
func jobFinished(job api.Resource, s api.Status) bool {
	if s.UnknownCells > 0 || s.Pending > 0 || s.Running > 0 {
		return false
	}
	return job.Job.Cancelled || s.Completed+s.Failed >= job.Job.Tasks
}

// deleteJob deletes a job unless it was changed meanwhile. It returns false if the outcome
// is not known, so that the next step that checks the job tries again.
func (c *jobCleanup) deleteJob(ctx context.Context, job api.Resource) bool {
	op := resources.Operation{
		ID:           fmt.Sprintf("cleanup-%s-%d", job.Name, job.Version),
		Verb:         resources.VerbDelete,
		Kind:         api.KindJob,
		Name:         job.Name,
		Precondition: resources.Precondition{Version: job.Version},
	}
	// The submitter logs a failure.
	_, err := (&submitter{feed: c.node.feed, wait: c.node.settings.Times.WriteWait}).Submit(ctx, op)
	return err == nil
}
