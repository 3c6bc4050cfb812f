package settings

import (
	"time"

	"github.com/cactusreel/cactusreel/api"
)

const (
	idAccepted      = "1 to 128 of letters, digits, dots, underscores, colons and hyphens"
	nameAccepted    = "1 to 63 of a-z, 0-9 and hyphens, beginning and ending with a letter or digit"
	addressAccepted = "an IP address and port, for example 127.0.0.1:8080"
	urlAccepted     = "http://, an IP address and port, and optionally a path"
	levelAccepted   = "debug, info, warn or error"
	traceAccepted   = "- for standard error, or an absolute path"
)

// keys lists every key of the file except those of the peers sections.
func keys() []key {
	all := processKeys()
	all = append(all, ownershipTimeKeys()...)
	all = append(all, taskTimeKeys()...)
	all = append(all, requestTimeKeys()...)
	return append(all, limitKeys()...)
}

func processKeys() []key {
	return []key{
		textKey("vm", "id", "text", func(e *Entry) *string { return &e.VM }, api.ValidVMID, "", idAccepted,
			"Id of this VM in the platform's VM list."),
		textKey("vm", "data_centre", "text", func(e *Entry) *string { return &e.DataCentre }, api.ValidName, "", nameAccepted,
			"Data centre of this VM."),
		textKey("listen", "callers", "address", func(e *Entry) *string { return &e.ListenCallers }, validAddress, "", addressAccepted,
			"Address on which callers and operators are served."),
		textKey("listen", "peers", "address", func(e *Entry) *string { return &e.ListenPeers }, validAddress, "", addressAccepted,
			"Address on which other entry VMs are served."),
		textKey("platform", "log_url", "URL", func(e *Entry) *string { return &e.LogURL }, validURL, "", urlAccepted,
			"Base URL of the platform's log."),
		textKey("platform", "vm_list_url", "URL", func(e *Entry) *string { return &e.VMListURL }, validURL, "", urlAccepted,
			"Base URL of the platform's VM list."),
		textKey("logging", "level", "text", func(e *Entry) *string { return &e.LogLevel }, validLevel, "info", levelAccepted,
			"Lowest level of log events written to standard output."),
		textKey("logging", "trace", "text", func(e *Entry) *string { return &e.Trace }, validTrace, "", traceAccepted,
			"Target of the trace, which records the events of the decision code (docs/traces.md); a VM has no disk, so this is a pipe with a reader. Empty disables the trace.").orEmpty(),
	}
}

func ownershipTimeKeys() []key {
	return []key{
		durationKey("owner_lease", func(e *Entry) *time.Duration { return &e.Times.OwnerLease }, 5*time.Second, time.Second, time.Minute,
			"Time for which an owner holds its cells after a renewal.").sameOnAllVMs(),
		durationKey("owner_renewal", func(e *Entry) *time.Duration { return &e.Times.OwnerRenewal }, 1500*time.Millisecond, 100*time.Millisecond, 20*time.Second,
			"Interval between renewals of the cells owned."),
		percentKey("times", "clock_drift", func(e *Entry) *float64 { return &e.Times.ClockDrift }, 1, 0, 10,
			"Maximum difference in rate between two monotonic clocks.").sameOnAllVMs(),
		durationKey("freshness", func(e *Entry) *time.Duration { return &e.Times.Freshness }, 2*time.Second, 500*time.Millisecond, 30*time.Second,
			"Maximum age of the applied configuration at which tasks are started."),
		durationKey("log_poll", func(e *Entry) *time.Duration { return &e.Times.LogPoll }, 250*time.Millisecond, 10*time.Millisecond, 5*time.Second,
			"Interval between reads of the log's head."),
		durationKey("log_timeout", func(e *Entry) *time.Duration { return &e.Times.LogTimeout }, 2*time.Second, 100*time.Millisecond, 30*time.Second,
			"Timeout of one request to the log or the VM list."),
		durationKey("log_retention", func(e *Entry) *time.Duration { return &e.Times.LogRetention }, 24*time.Hour, time.Minute, 365*24*time.Hour,
			"Time for which the log keeps a record; a stream gets a snapshot after a quarter of it."),
		durationKey("write_wait", func(e *Entry) *time.Duration { return &e.Times.WriteWait }, 5*time.Second, 500*time.Millisecond, time.Minute,
			"Maximum time between an operator's write and its read-back from the log."),
		durationKey("known_gone", func(e *Entry) *time.Duration { return &e.Times.KnownGone }, time.Minute, time.Second, time.Hour,
			"Time after which a VM missing from the VM list is known to have stopped.").sameOnAllVMs(),
		durationKey("promise", func(e *Entry) *time.Duration { return &e.Times.Promise }, 3*time.Second, 500*time.Millisecond, 30*time.Second,
			"Time for which a peer's promise not to claim a cell is valid.").sameOnAllVMs(),
		durationKey("peer_timeout", func(e *Entry) *time.Duration { return &e.Times.PeerTimeout }, time.Second, 50*time.Millisecond, 30*time.Second,
			"Timeout of one request to a peer."),
	}
}

func taskTimeKeys() []key {
	return []key{
		durationKey("task_lease", func(e *Entry) *time.Duration { return &e.Times.TaskLease }, 10*time.Second, time.Second, 10*time.Minute,
			"Lease of a running task on its worker's clock.").sameOnAllVMs(),
		durationKey("task_renewal", func(e *Entry) *time.Duration { return &e.Times.TaskRenewal }, 3*time.Second, 100*time.Millisecond, 5*time.Minute,
			"Interval between renewals of task leases."),
		durationKey("finished_jobs", func(e *Entry) *time.Duration { return &e.Times.FinishedJobs }, time.Hour, time.Minute, 30*24*time.Hour,
			"Time for which a finished job is kept before it is deleted."),
		durationKey("offline_tasks", func(e *Entry) *time.Duration { return &e.Times.OfflineTasks }, 15*time.Minute, 10*time.Second, 24*time.Hour,
			"Maximum time for which task leases are renewed without the log.").sameOnAllVMs(),
		durationKey("worker_timeout", func(e *Entry) *time.Duration { return &e.Times.WorkerTimeout }, time.Second, 50*time.Millisecond, 30*time.Second,
			"Timeout of one request to a worker agent."),
		durationKey("worker_poll", func(e *Entry) *time.Duration { return &e.Times.WorkerPoll }, time.Second, 50*time.Millisecond, time.Minute,
			"Interval between reads of a worker's state."),
	}
}

func requestTimeKeys() []key {
	return []key{
		durationKey("max_request", func(e *Entry) *time.Duration { return &e.Times.MaxRequest }, 5*time.Second, 100*time.Millisecond, time.Minute,
			"Maximum duration of a request from its arrival to its last byte; services can set a shorter one.").sameOnAllVMs(),
		durationKey("progress", func(e *Entry) *time.Duration { return &e.Times.Progress }, time.Second, 10*time.Millisecond, time.Minute,
			"Maximum time without a byte while bytes are due, for services that do not set one."),
		durationKey("request_id_retention", func(e *Entry) *time.Duration { return &e.Times.RequestIDRetention }, 10*time.Minute, 10*time.Second, 24*time.Hour,
			"Time for which request ids and kept responses are held.").sameOnAllVMs(),
		durationKey("leaving_poll", func(e *Entry) *time.Duration { return &e.Times.LeavingPoll }, time.Second, 50*time.Millisecond, 10*time.Second,
			"Interval between reads of the VM list and of a backend server's health."),
		durationKey("balancer_delay", func(e *Entry) *time.Duration { return &e.Times.BalancerDelay }, 3*time.Second, 0, 5*time.Minute,
			"Time that the platform's load balancer needs to stop sending requests to a VM that is not ready."),
		durationKey("stop_deadline", func(e *Entry) *time.Duration { return &e.Times.StopDeadline }, 30*time.Second, time.Second, time.Hour,
			"Maximum duration of a planned stop."),
	}
}

func limitKeys() []key {
	return []key{
		sizeKey("max_header_bytes", func(e *Entry) *int { return &e.Limits.MaxHeaderBytes }, 64*kibibyte, 4*kibibyte, mebibyte,
			"Maximum size of the headers of a request."),
		sizeKey("max_body_bytes", func(e *Entry) *int64 { return &e.Limits.MaxBodyBytes }, 8*mebibyte, 0, api.MaxServiceBodyBytes,
			"Maximum size of the body of a request to a service that does not set a limit."),
		countKey("client_connections", func(e *Entry) *int { return &e.Limits.ClientConnections }, 8192, 64, 1_000_000,
			"Maximum number of connections of callers, and of those of peers; beyond it the one that has been inactive for longest is closed."),
		sizeKey("client_memory", func(e *Entry) *int64 { return &e.Limits.ClientMemory }, 512*mebibyte, 4*mebibyte, 64*1024*mebibyte,
			"Maximum memory of the connections of callers with their heads and bodies, and of those of peers; beyond it those that hold most are closed."),
		sizeKey("client_progress", func(e *Entry) *int64 { return &e.Limits.ClientProgress }, kibibyte, 0, mebibyte,
			"Number of bytes of a body that must arrive within 10 seconds."),
		countKey("request_table_entries", func(e *Entry) *int { return &e.Limits.RequestTableEntries }, 100_000, 100, 10_000_000,
			"Maximum number of request ids kept per cell."),
		countKey("requests_in_progress", func(e *Entry) *int { return &e.Limits.RequestsInProgress }, 4096, 1, 1_000_000,
			"Maximum number of requests in progress in this process."),
		countKey("watches", func(e *Entry) *int { return &e.Limits.Watches }, 256, 1, 10_000,
			"Maximum number of operator watches that are open at the same time."),
		countKey("snapshot_records", func(e *Entry) *int { return &e.Limits.SnapshotRecords }, 5000, 10, 10_000_000,
			"Number of records after which a stream gets a snapshot."),
		countKey("batch_records", func(e *Entry) *int { return &e.Limits.BatchRecords }, 512, 1, 10_000,
			"Maximum number of records in one append."),
		sizeKey("batch_bytes", func(e *Entry) *int { return &e.Limits.BatchBytes }, 512*kibibyte, api.MaxDocumentBytes+4*kibibyte, 16*mebibyte,
			"Maximum size of one append; it must be able to hold the largest resource."),
	}
}
