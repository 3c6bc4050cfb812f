package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
)

// changeInterval is how often the state is compared for changes to log.
const changeInterval = 500 * time.Millisecond

// observedState is the part of a node's state whose changes are logged.
type observedState struct {
	ready     bool
	logDirect bool
	listFresh bool
	starts    bool
	peers     map[string]bool
	cells     map[int]ownership.View
	workers   map[string]workerReach
	vms       map[string]hostapi.VM
	inService map[string]bool
}

// workerReach is whether a worker of an own cell answers, and its boot id.
type workerReach struct {
	ready bool
	boot  string
}

// changeLog compares the state of a node with the last one and logs changes.
// Only its loop's goroutine uses it.
type changeLog struct {
	node   *Node
	before observedState
	// since is when a condition last changed, by its name.
	since map[string]time.Duration
}

func newChangeLog(n *Node) *changeLog {
	return &changeLog{node: n, since: make(map[string]time.Duration), before: observedState{logDirect: true, listFresh: true, starts: true}}
}

// step logs what has changed since the last step.
func (c *changeLog) step(context.Context) {
	now := c.node.observeState()
	c.process(now)
	c.platform(now)
	c.peers(now)
	c.cells(now)
	c.workers(now)
	c.vms(now)
	c.dataCentres(now)
	c.before = now
}

// flip logs the change of a condition: down when it ends, up when it returns
// with the time that it was away.
func (c *changeLog) flip(name string, was, is bool, down, up logevent.Number, fields ...zap.Field) {
	if was == is {
		return
	}
	now := c.node.clock()
	if !is {
		c.since[name] = now
		c.node.events.Log(down, fields...)
		return
	}
	c.node.events.Log(up, append(fields, zap.Duration("duration", now-c.since[name]))...)
}

func (c *changeLog) process(now observedState) {
	if now.ready && !c.before.ready {
		c.node.events.Log(logevent.ProcessReady, zap.Int64("offset", c.node.feed.store.View().Offset()))
	}
	if c.before.ready || now.starts {
		c.flip("starts", c.before.starts, now.starts, logevent.StartsSuspended, logevent.StartsResumed)
	}
}

func (c *changeLog) platform(now observedState) {
	c.flip("log", c.before.logDirect, now.logDirect, logevent.LogUnavailable, logevent.LogAvailable)
	c.flip("list", c.before.listFresh, now.listFresh, logevent.VMListStale, logevent.VMListRead)
}

func (c *changeLog) peers(now observedState) {
	for vm, reachable := range now.peers {
		if was, known := c.before.peers[vm]; known {
			c.flip("peer "+vm, was, reachable, logevent.PeerUnreachable, logevent.PeerReachable, zap.String("peer", vm))
		}
	}
}

func (c *changeLog) cells(now observedState) {
	for cell, v := range now.cells {
		was, known := c.before.cells[cell]
		if !known || was.OwnState == v.OwnState {
			continue
		}
		c.node.events.Log(logevent.StateChanged, zap.Int("cell", cell), zap.Int64("term", v.OwnTerm), zap.String("from", string(was.OwnState)), zap.String("to", string(v.OwnState)))
	}
}

func (c *changeLog) workers(now observedState) {
	for id, w := range now.workers {
		was, known := c.before.workers[id]
		if !known {
			continue
		}
		c.flip("worker "+id, was.ready, w.ready, logevent.WorkerUnreachable, logevent.WorkerReachable, zap.String("worker", id))
		if was.boot != "" && w.boot != "" && was.boot != w.boot {
			c.node.events.Log(logevent.WorkerRestarted, zap.String("worker", id), zap.String("boot", w.boot))
		}
	}
}

func (c *changeLog) vms(now observedState) {
	if len(c.before.vms) == 0 {
		return
	}
	for id, vm := range now.vms {
		if _, known := c.before.vms[id]; !known {
			c.node.events.Log(logevent.VMAppeared, zap.String("vm", id), zap.String("role", string(vm.Role)))
		}
	}
	for id, vm := range c.before.vms {
		if _, still := now.vms[id]; !still {
			c.node.events.Log(logevent.VMDisappeared, zap.String("vm", id), zap.String("role", string(vm.Role)))
		}
	}
}

func (c *changeLog) dataCentres(now observedState) {
	for name, in := range now.inService {
		if was, known := c.before.inService[name]; known {
			c.flip("data centre "+name, was, in, logevent.DataCentreTakenOut, logevent.DataCentreBroughtBack, zap.String("dataCentre", name))
		}
	}
}
