package settings

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
	// Trace is the target of the trace: a path, "-" for standard error, or ""
	// for none.
	Trace string
	// Peers are the entry VMs of all data centres in ascending order of data
	// centre and VM. They may include this VM.
	Peers  []Peer
	Times  Times
	Limits Limits
}

// Others returns the peers other than this VM.
func (e Entry) Others() []Peer {
	others := make([]Peer, 0, len(e.Peers))
	for _, p := range e.Peers {
		if p.VM != e.VM {
			others = append(others, p)
		}
	}
	return others
}
