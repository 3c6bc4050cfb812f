package standin

// FaultKind names a kind of fault.
type FaultKind string

// Fault kinds. A fault without a count stays on until it is switched off. A fault
// with a count affects that many requests.
const (
	// FaultDown closes the target's listener and connections. With a count, it
	// instead closes the connections of that many requests before the requests
	// take effect.
	FaultDown FaultKind = "down"
	// FaultSlow delays requests by Delay before they take effect.
	FaultSlow FaultKind = "slow"
	// FaultResponseLost closes the connection after the request has taken effect,
	// without a response.
	FaultResponseLost FaultKind = "responseLost"
	// FaultCut closes the connection after Bytes bytes of the response body.
	FaultCut FaultKind = "cut"
	// FaultFrozen permanently stops all sending on connections, which stay open;
	// requests on them still take effect. Without a count, it affects all
	// connections that are open now, and no later ones. With a count, it affects
	// the connections of that many requests, after Bytes bytes of the response.
	FaultFrozen FaultKind = "frozen"
	// FaultTruncated deletes the records of the stream "stream/<name>" below
	// First, or all records if First is 0. It can't be switched off.
	FaultTruncated FaultKind = "truncated"
	// FaultLagging stops updates of the VM list ("vms") that callers see.
	FaultLagging FaultKind = "lagging"
	// FaultWorkerDown stops workers: their tasks are lost and they are removed
	// from the VM list. When it is switched off, they boot with a new boot id.
	FaultWorkerDown FaultKind = "workerDown"
	// FaultFailing makes tasks that start on the workers from now on fail.
	FaultFailing FaultKind = "failing"
	// FaultLeaving makes the workers' backend servers announce that they are
	// leaving. The VM list reports it after its lag. The target "vm/<id>" changes
	// only the VM list.
	FaultLeaving FaultKind = "leaving"
	// FaultGone removes "vm/<id>" from the VM list.
	FaultGone FaultKind = "gone"
)

var requestFaults = []FaultKind{FaultDown, FaultSlow, FaultResponseLost, FaultCut, FaultFrozen}

var stateFaults = []FaultKind{FaultTruncated, FaultLagging, FaultWorkerDown, FaultFailing, FaultLeaving, FaultGone}
