package coordinator

import "time"

// Intervals and time limits that do not depend on the deployment.
const (
	// joinInterval is a fifth of the group's TTL, so that a node keeps its cells
	// when four consecutive joins are lost.
	joinInterval = 300 * time.Millisecond
	// reserveCheckInterval is how often a node in reserve checks for other owners,
	// reserveChecks the number of consecutive checks that must find none before one of
	// level 1 takes cells. A simultaneous restart of all other nodes takes about 2 s.
	reserveCheckInterval = 1200 * time.Millisecond
	reserveChecks        = 2
	// authorityDuration is how long an owner continues to send commands without a
	// successful join. It bridges an outage of the store of several seconds.
	authorityDuration = 10 * time.Second
	// leaseAuthority is the part of it for which an owner grants full leases; later ones end
	// when the last full one does. With a lease of 6 s, and 2 s until the next heartbeat,
	// runs outlast an outage of 9 s. A successor that nobody can tell which leases remain
	// waits for leaseAuthority and a lease.
	leaseAuthority = 6 * time.Second
	// assignmentValidity is how long after a join a node may try to open an epoch:
	// the group's TTL, after which the cell may be assigned to another node. Further
	// calls of a node that the store rejects would fail, and calls are counted.
	assignmentValidity = 1500 * time.Millisecond
	// ownersReadInterval is the minimum time between reads of the cells' owners.
	ownersReadInterval = 300 * time.Millisecond
	// publicationCheckInterval is how often an owner looks whether it is still published.
	publicationCheckInterval = 5 * time.Second
	// ownersLearnDelay is the time from a new generation of the group until the owners are
	// read: two joins, after which new owners have usually opened their epochs.
	ownersLearnDelay = 2 * joinInterval
	// proofInterval is the minimum time between two appends that prove an epoch to be the
	// newest.
	proofInterval = 500 * time.Millisecond
	// directoryReadInterval is the longest pause between reads of the list of workers.
	directoryReadInterval = 400 * time.Millisecond
	// preparedListAge is the age up to which an ownership begins with a list that was read before.
	preparedListAge = time.Second
	// tickInterval is the interval of the dispatch machine's Tick events.
	tickInterval = 20 * time.Millisecond
	// intakeReadWait is the maximum time for which the log may delay its answer to
	// an owner's read of the intake. A connection that goes silent delays the read
	// by at most this and logTimeout.
	intakeReadWait = time.Second
	// sharedIntakeReadWait is the same if there are other cells.
	sharedIntakeReadWait = 500 * time.Millisecond
	// logTimeout is the timeout of a call to the log. A usual response takes 4 ms, a
	// slow one 60 times as long.
	logTimeout = 900 * time.Millisecond
	// logRetryDelay is the delay before the first retry of a log call.
	logRetryDelay = 100 * time.Millisecond
	// lookupTimeout is the timeout of a query to a cell's owner.
	lookupTimeout = 300 * time.Millisecond
	// capacityTimeout is the timeout of a search for cells with free capacity.
	capacityTimeout = 500 * time.Millisecond
	// suspensionTolerance is the time by which the clock that counts suspension may be
	// ahead of the monotonic clock without a suspension.
	suspensionTolerance = 100 * time.Millisecond
	// notifyTimeout is the timeout of a notification to a cell's owner, including
	// the look-up of the owner. A lost notification does no harm: the owner reads
	// the record from the intake.
	notifyTimeout = 500 * time.Millisecond
	// decisionTimeout is how long the answer to a submission that is stored waits for the owner to
	// say whether the submission has its id, decisionTimeShare the part of the time for the append
	// that this may take: callers' time for the append is appendTimeShare of what they have.
	decisionTimeout   = 200 * time.Millisecond
	decisionTimeShare = 4
	// handOverTimeout is the time for which an owner that gives a cell up waits for the
	// workers whose leases it extends.
	handOverTimeout = 300 * time.Millisecond
	// leavingTime is how long an owner to which the cell is no longer assigned goes on, so that
	// its successor can read the cell before. It covers the group's joins and a read of two seconds.
	leavingTime = 3 * time.Second
	// flushTime is how long the end of an ownership waits for its records to be appended.
	flushTime = 150 * time.Millisecond
	// endWait is how long a call that waits for the end of an ownership stays open,
	// endWatchInterval the least time between two such calls of a node.
	endWait          = 5 * time.Second
	endWatchInterval = 400 * time.Millisecond
	// knownEndRetention is how long the end of a run that may not be in the log is passed on.
	// All waits for leases are shorter.
	knownEndRetention = time.Minute
	// resignTimeout is the timeout of a resignation request to a previous owner.
	resignTimeout = 500 * time.Millisecond
	// lookupRetryDelay is the delay before a cell's owner is queried again.
	lookupRetryDelay = 150 * time.Millisecond
	// maxStoreSilence is how long a node stays ready without a response of the
	// store.
	maxStoreSilence = 2500 * time.Millisecond
	// maxQueuedEvents is the capacity of an owner's event queue.
	maxQueuedEvents = 4096
	// finalRetention is how long final submissions, and cancellations of unknown ids,
	// stay in memory. Callers may query submissions for 2 minutes, and a late
	// duplicate of a request arrives within seconds. The log keeps records for a
	// shorter time, so its readers agree on what a cancellation precedes.
	finalRetention = 10 * time.Minute
	// sweepInterval is how often final submissions are removed.
	sweepInterval = 10 * time.Second
	// maxQueuedNotifications is the capacity of a cell's notification queue. Further
	// notifications are dropped, because the owner reads the same records from the
	// intake.
	maxQueuedNotifications = 256
	// snapshotInterval is how often an owner writes a snapshot while records are added. Records
	// that the log drops before a snapshot has them are lost, and with them the ends of runs, so
	// it is far below the time for which logs keep records. A successor reads the records since
	// the snapshot: at 3,500 records a second these are about 1 MB, less than the snapshot itself.
	snapshotInterval = 3 * time.Second
	// snapshotMaxInterval is the longest pause before a snapshot that could not be saved is tried
	// again. Where the log keeps records for a short time, there are snapshotsPerRetention
	// snapshots in it.
	snapshotMaxInterval   = 30 * time.Second
	snapshotsPerRetention = 10
	// maxSnapshotRetryDoublings is how often the pause after a snapshot that could not be saved
	// doubles: a snapshot may be too large for a slow path.
	maxSnapshotRetryDoublings = 3
	// snapshotReadAge is the age of the local copy above which a node loads the
	// snapshot before it reads the streams.
	snapshotReadAge = 2 * time.Second
	// snapshotTimeout is the timeout of saving or loading a snapshot: 1 MB takes
	// 0.9 s at 10 Mbit/s.
	snapshotTimeout = 2 * time.Second
	// maxSnapshotDoublings is how often the timeout of loading a snapshot doubles after attempts
	// that failed: a slow store or path is not faster at the next one.
	maxSnapshotDoublings = 1
	// refusedReadTime is the time for reading the streams of a cell that was refused.
	refusedReadTime = 10 * time.Second
	// cellPageRecords and intakePageRecords are the maximum numbers of records of
	// one read. A record of the cell stream takes about 100 bytes, a submission up
	// to 5 kB, and a page must arrive within logTimeout at 10 Mbit/s.
	cellPageRecords   = 4096
	intakePageRecords = 256
	// maxAppendBytes is the size at which a batch is full; the platform accepts
	// appends of up to 2 MiB.
	maxAppendBytes = 1 << 20
	// appendTimeShare is the share of a caller's remaining time that an append and
	// its retries may use.
	appendTimeShare = 0.7
)
