package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/cactusreel/cactusreel/api"
	"github.com/cactusreel/cactusreel/resources"
)

// Limits of the deletion of finished jobs. At 48,000 jobs a day 34 jobs finish
// per minute; one step can look at 10 times as many.
const (
	cleanupInterval = time.Minute
	cleanupBatch    = 340
)

// jobCleanup deletes jobs some time after they have finished, because the
// resource store and its snapshots would grow with every job ever declared.
// Only its loop's goroutine uses it.
type jobCleanup struct {
	node *Node
	// finishedAt is when a job was first seen finishedAt, by name and version.
	finishedAt map[jobVersion]time.Duration
	// lastName is the name after which the lastName step begins.
	lastName string
}

// jobVersion names one declaration of a job.
type jobVersion struct {
	name    string
	version api.Version
}

func newJobCleanup(n *Node) *jobCleanup {
	return &jobCleanup{node: n, finishedAt: make(map[jobVersion]time.Duration)}
}

// step looks at some jobs and deletes those that finished long enough ago. It
// is the work of the VM that writes the snapshots of the resources.
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
		since, known := c.finishedAt[key]
		switch {
		case !known:
			c.finishedAt[key] = now
		case now-since >= c.node.settings.Times.FinishedJobs:
			c.deleteJob(ctx, job)
			delete(c.finishedAt, key)
		}
	}
}

// nextBatch returns the next jobs in the order of their names, all in turn.
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

// jobFinished reports whether nothing of a job runs or will run. A cell that
// did not answer may hold tasks.
func jobFinished(job api.Resource, s api.Status) bool {
	if s.UnknownCells > 0 || s.Pending > 0 || s.Running > 0 {
		return false
	}
	return job.Job.Cancelled || s.Completed+s.Failed >= job.Job.Tasks
}

// deleteJob deletes a job unless it was changed meanwhile.
func (c *jobCleanup) deleteJob(ctx context.Context, job api.Resource) {
	op := resources.Operation{
		ID:           fmt.Sprintf("cleanup-%s-%d", job.Name, job.Version),
		Verb:         resources.VerbDelete,
		Kind:         api.KindJob,
		Name:         job.Name,
		Precondition: resources.Precondition{Version: job.Version},
	}
	// The next step tries again if the log did not take it.
	_, _ = (&submitter{feed: c.node.feed, wait: c.node.settings.Times.WriteWait}).Submit(ctx, op)
}
