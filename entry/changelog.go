package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cactusreel/cactusreel/hostapi"
	"github.com/cactusreel/cactusreel/logevent"
	"github.com/cactusreel/cactusreel/ownership"
)

// changeLogInterval is the interval at which the state is compared with the
// previous one.
const changeLogInterval = 500 * time.Millisecond

// observedState is the part of a node's state whose changes are logged.
type observedState struct {
	ready         bool
	logDirect     bool
	vmListFresh   bool
	startsAllowed bool
	peers         map[string]bool
	cells         map[int]ownership.View
	workers       map[string]workerReachability
	vms           map[string]hostapi.VM
	inService     map[string]bool
}

// workerReachability holds whether a worker of an owned cell answers, and its boot id.
type workerReachability struct {
	ready bool
	boot  string
}

// changeLog logs changes of a node's state. Only the goroutine of its loop uses it.
type changeLog struct {
	node     *Node
	previous observedState
	// since is when each condition last became false, by condition name.
	since map[string]time.Duration
}

func newChangeLog(n *Node) *changeLog {
	return &changeLog{node: n, since: make(map[string]time.Duration), previous: observedState{logDirect: true, vmListFresh: true, startsAllowed: true}}
}

// logChanges logs what has changed since the previous call.
func (c *changeLog) logChanges(context.Context) {
	current := c.node.observeState()
	c.logProcess(current)
	c.logPlatform(current)
	c.logPeers(current)
	c.logCells(current)
	c.logWorkers(current)
	c.logVMs(current)
	c.logDataCentres(current)
	c.previous = current
}

// logTransition logs the change of a condition: the event down when it becomes
// false, and the event up, with the time that it was false, when it holds again.
func (c *changeLog) logTransition(name string, was, is bool, down, up logevent.Number, fields ...zap.Field) {
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

func (c *changeLog) logProcess(current observedState) {
	if current.ready && !c.previous.ready {
		c.node.events.Log(logevent.ProcessReady, zap.Int64("offset", c.node.feed.store.View().Offset()))
	}
	if c.previous.ready || current.startsAllowed {
		c.logTransition("starts", c.previous.startsAllowed, current.startsAllowed, logevent.StartsSuspended, logevent.StartsResumed)
	}
}

func (c *changeLog) logPlatform(current observedState) {
	c.logTransition("log", c.previous.logDirect, current.logDirect, logevent.LogUnavailable, logevent.LogAvailable)
	c.logTransition("list", c.previous.vmListFresh, current.vmListFresh, logevent.VMListStale, logevent.VMListRead)
}

func (c *changeLog) logPeers(current observedState) {
	for vm, reachable := range current.peers {
		if was, known := c.previous.peers[vm]; known {
			c.logTransition("peer "+vm, was, reachable, logevent.PeerUnreachable, logevent.PeerReachable, zap.String("peer", vm))
		}
	}
}

func (c *changeLog) logCells(current observedState) {
	for cell, v := range current.cells {
		was, known := c.previous.cells[cell]
		if !known || was.OwnState == v.OwnState {
			continue
		}
		c.node.events.Log(logevent.StateChanged, zap.Int("cell", cell), zap.Int64("term", v.OwnTerm), zap.String("from", string(was.OwnState)), zap.String("to", string(v.OwnState)))
	}
}

func (c *changeLog) logWorkers(current observedState) {
	for id, w := range current.workers {
		was, known := c.previous.workers[id]
		if !known {
			continue
		}
		c.logTransition("worker "+id, was.ready, w.ready, logevent.WorkerUnreachable, logevent.WorkerReachable, zap.String("worker", id))
		if was.boot != "" && w.boot != "" && was.boot != w.boot {
			c.node.events.Log(logevent.WorkerRestarted, zap.String("worker", id), zap.String("boot", w.boot))
		}
	}
}

func (c *changeLog) logVMs(current observedState) {
	if len(c.previous.vms) == 0 {
		return
	}
	for id, vm := range current.vms {
		if _, known := c.previous.vms[id]; !known {
			c.node.events.Log(logevent.VMAppeared, zap.String("vm", id), zap.String("role", string(vm.Role)))
		}
	}
	for id, vm := range c.previous.vms {
		if _, still := current.vms[id]; !still {
			c.node.events.Log(logevent.VMDisappeared, zap.String("vm", id), zap.String("role", string(vm.Role)))
		}
	}
}

func (c *changeLog) logDataCentres(current observedState) {
	for name, in := range current.inService {
		if was, known := c.previous.inService[name]; known {
			c.logTransition("data centre "+name, was, in, logevent.DataCentreTakenOut, logevent.DataCentreBroughtBack, zap.String("dataCentre", name))
		}
	}
}
