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
	// finished is when a job was first seen finished, by name and version.
	finished map[jobVersion]time.Duration
	// next is the name after which the next step begins.
	next string
}

// jobVersion names one declaration of a job.
type jobVersion struct {
	name    string
	version api.Version
}

func newJobCleanup(n *Node) *jobCleanup {
	return &jobCleanup{node: n, finished: make(map[jobVersion]time.Duration)}
}

// step looks at some jobs and deletes those that finished long enough ago. It
// is the work of the VM that writes the snapshots of the resources.
func (c *jobCleanup) step(ctx context.Context) {
	if !c.node.writesSnapshots(false) || c.node.Ready() != nil {
		return
	}
	jobs := c.batch()
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
			delete(c.finished, key)
			continue
		}
		since, known := c.finished[key]
		switch {
		case !known:
			c.finished[key] = now
		case now-since >= c.node.settings.Times.FinishedJobs:
			c.remove(ctx, job)
			delete(c.finished, key)
		}
	}
}

// batch returns the next jobs in the order of their names, all in turn.
func (c *jobCleanup) batch() []api.Resource {
	all := c.node.feed.store.View().List(api.KindJob)
	first := 0
	for first < len(all) && all[first].Name <= c.next {
		first++
	}
	jobs := all[first:min(first+cleanupBatch, len(all))]
	c.next = ""
	if first+cleanupBatch < len(all) {
		c.next = jobs[len(jobs)-1].Name
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

// remove deletes a job unless it was changed meanwhile.
func (c *jobCleanup) remove(ctx context.Context, job api.Resource) {
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
