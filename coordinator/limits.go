package coordinator

import "time"

// Intervals and time limits that do not depend on the deployment.
const (
	// joinInterval is a fifth of the group's time to live, so that four lost
	// calls in a row do not cost a cell.
	joinInterval = 300 * time.Millisecond
	// reserveInterval is how often a node in reserve looks for other owners,
	// reserveChecks how many looks in a row must find none. A restart of all
	// other nodes at once takes about 2 s.
	reserveCheckInterval = 1200 * time.Millisecond
	reserveChecks        = 2
	// authority is how long an owner extends leases without a successful join.
	// It bridges an outage of the store of several seconds.
	authorityDuration = 10 * time.Second
	// assignmentHolds is how long after a join a node tries to open a cell: the
	// time to live in the group, after which another node may have the cell. The
	// calls of a node that the store turns away are in vain, and counted.
	assignmentValidity = 1500 * time.Millisecond
	// ownersInterval bounds how often a node reads who owns the cells.
	ownersReadInterval = 300 * time.Millisecond
	// directoryInterval is how often an owner reads the list of workers. A
	// draining worker must get no starts after 2 s.
	directoryReadInterval = 400 * time.Millisecond
	// tickInterval drives time limits of the dispatch machine.
	tickInterval = 20 * time.Millisecond
	// tailWait is how long the log may delay its answer to an owner's read of
	// the intake. A connection that went silent costs at most a little more.
	intakeReadWait = time.Second
	// logTimeout bounds a call to the log; its usual answer takes 4 ms and a
	// slow one 60 times as long.
	logTimeout = 900 * time.Millisecond
	// logRetry is the pause before a log call is repeated.
	logRetryDelay = 100 * time.Millisecond
	// orderTimeout bounds a start or a stop; the usual answer takes one
	// round trip of 10 ms.
	commandTimeout = 700 * time.Millisecond
	// lookupTimeout bounds the question to a cell's owner.
	lookupTimeout = 300 * time.Millisecond
	// notifyTimeout bounds a notice to a cell's owner; the log tells it too.
	notifyTimeout = 500 * time.Millisecond
	// resignTimeout bounds the question to a former owner.
	resignTimeout = 500 * time.Millisecond
	// lookupPause is the wait before a cell's owner is asked again.
	lookupRetryDelay = 150 * time.Millisecond
	// storeSilence is how long a node stays ready without an answer of the store.
	maxStoreSilence = 2500 * time.Millisecond
	// eventBacklog bounds the events that wait for a cell's goroutine.
	maxQueuedEvents = 4096
	// finalKept is how long ended submissions stay in memory. Callers may ask
	// for 2 minutes, and a late copy of a request arrives within seconds.
	finalRetention = 10 * time.Minute
	// sweepInterval is how often ended submissions are forgotten.
	sweepInterval = 10 * time.Second
	// noticeBacklog bounds the notices that wait; more are dropped, because
	// the log tells of the same records.
	maxQueuedNotifications = 256
	// snapshotInterval is how often an owner writes its state if it has changed
	// by snapshotLeast records. A successor reads what came since: at 3,500
	// records a second this is about 1 MB, less than the state itself.
	snapshotInterval   = 3 * time.Second
	snapshotMinRecords = 500
	// snapshotAtLeast is how often a state that changes little is written, to
	// stay far below the 5 minutes for which the log keeps records.
	snapshotMaxInterval = 30 * time.Second
	// snapshotBehind is how old a node's own copy may be before it reads the
	// snapshot first.
	snapshotReadAge = 2 * time.Second
	// snapshotTimeout bounds a snapshot's way: 1 MB takes 0.9 s at 10 Mbit/s.
	snapshotTimeout = 2 * time.Second
	// cellPage and intakePage bound the records of one read: records of a cell
	// take about 100 bytes, submissions up to 5 kB, and a page has to arrive
	// within logTimeout at 10 Mbit/s.
	cellPageRecords   = 4096
	intakePageRecords = 256
	// maxAppendBytes bounds one append; the platform's own bound is 2 MiB.
	maxAppendBytes = 1 << 20
	// appendShare is the part of a caller's time that repeats of an append may use.
	appendTimeShare = 0.7
)
