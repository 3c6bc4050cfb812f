package settings

import "time"

// Entry holds the settings of one `cactusreel entry` process.
type Entry struct {
	// VM is the id of the VM in the platform's list.
	VM string
	// DataCentre is the data centre of the VM.
	DataCentre string
	// ListenCallers is the IP address and port for callers and operators.
	ListenCallers string
	// ListenPeers is the IP address and port for other entry VMs.
	ListenPeers string
	// LogURL is the base URL of the platform's log.
	LogURL string
	// VMListURL is the base URL of the platform's VM list.
	VMListURL string
	// LogLevel is the lowest level of log events written: debug, info, warn or error.
	LogLevel string
	// Peers are the entry VMs of all data centres in ascending order of data
	// centre and VM. They may include this VM.
	Peers  []Peer
	Times  Times
	Limits Limits
}

// Others returns the peers without this VM.
func (e Entry) Others() []Peer {
	others := make([]Peer, 0, len(e.Peers))
	for _, p := range e.Peers {
		if p.VM != e.VM {
			others = append(others, p)
		}
	}
	return others
}

// Peer is an entry VM of any data centre.
type Peer struct {
	VM         string
	DataCentre string
	// Address is the IP address and port on which the VM listens for peers.
	Address string
}

// Times holds the time settings of the [times] section.
type Times struct {
	// OwnerLease is the time for which an owner holds its cells after a renewal.
	OwnerLease time.Duration
	// OwnerRenewal is the interval between renewals of the cells owned.
	OwnerRenewal time.Duration
	// ClockDrift is the largest relative drift of any two clocks, for example 0.01.
	ClockDrift float64
	// Freshness is the greatest age of the newest known configuration at which tasks are started.
	Freshness time.Duration
	// LogPoll is the interval between reads of the log's head.
	LogPoll time.Duration
	// LogTimeout bounds one request to the log.
	LogTimeout time.Duration
	// LogRetention is the time for which the log keeps a record.
	LogRetention time.Duration
	// WriteWait bounds the time between an operator's write and its read-back.
	WriteWait time.Duration
	// TaskLease is the lease of a running task on its worker's clock.
	TaskLease time.Duration
	// TaskRenewal is the interval between renewals of task leases.
	TaskRenewal time.Duration
	// OfflineTasks bounds the renewal of task leases without the log.
	OfflineTasks time.Duration
	// KnownGone is the time after which a VM missing from the VM list no longer runs.
	KnownGone time.Duration
	// Promise is the time for which a peer's promise not to claim vouches for an owner.
	Promise time.Duration
	// MaxRequest bounds a request from its arrival to its last byte.
	MaxRequest time.Duration
	// Progress bounds the time without a byte while bytes are due.
	Progress time.Duration
	// RecentProgress is the time since a connection's last progress within
	// which it may carry a non-idempotent request.
	RecentProgress time.Duration
	// RequestIDRetention is the time for which request ids and kept responses are held.
	RequestIDRetention time.Duration
	// PeerTimeout bounds one request to a peer.
	PeerTimeout time.Duration
	// WorkerTimeout bounds one request to a worker agent.
	WorkerTimeout time.Duration
	// WorkerPoll is the interval between observations of a worker.
	WorkerPoll time.Duration
	// LeavingPoll is the interval between reads of the VM list and of a backend server's health.
	LeavingPoll time.Duration
	// BalancerDelay is the time that the platform's balancer needs to stop sending requests.
	BalancerDelay time.Duration
	// StopDeadline bounds a planned stop.
	StopDeadline time.Duration
}

// Limits holds the limit settings of the [limits] section.
type Limits struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int
	// MaxBodyBytes bounds the body of a request to a service that states no limit.
	MaxBodyBytes int64
	// KeptResponseBytes is the largest response that is kept for repeats.
	KeptResponseBytes int64
	// RequestTableEntries bounds the request ids kept per cell.
	RequestTableEntries int
	// RequestsInProgress bounds the requests in progress in this process.
	RequestsInProgress int
	// ConnectionsPerWorker bounds the connections that an owner opens to a worker.
	ConnectionsPerWorker int
	// ReducedSlots is the number of slots per worker in the owner state reduced.
	ReducedSlots int
	// Watches bounds the operator watches open at a time.
	Watches int
	// SnapshotRecords is the number of records after which a stream gets a snapshot.
	SnapshotRecords int
	// BatchRecords bounds the records in one append.
	BatchRecords int
	// BatchBytes bounds the size of one append.
	BatchBytes int
	// RetryBudget is the largest share of requests that are retries, from 0 to 1.
	RetryBudget float64
	// HedgeBudget is the largest share of requests that are hedges, from 0 to 1.
	HedgeBudget float64
}
