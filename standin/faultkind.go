package standin

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults. Without a count, a fault stays on until it is switched off;
// with a count, it hits that many requests.
const (
	// FaultDown closes the target's listener and connections. With a count, it
	// closes the connections of that many requests before they take effect.
	FaultDown FaultKind = "down"
	// FaultSlow delays requests by Delay before they take effect.
	FaultSlow FaultKind = "slow"
	// FaultResponseLost closes the connection after the request took effect.
	FaultResponseLost FaultKind = "responseLost"
	// FaultCut closes the connection after Bytes bytes of the response body.
	FaultCut FaultKind = "cut"
	// FaultFrozen lets connections send nothing any more, for ever, while they
	// stay open and requests on them take effect. Without a count, it hits all
	// connections that are open now, and none later. With a count, it hits the
	// connections of that many requests, after Bytes bytes of the response.
	FaultFrozen FaultKind = "frozen"
	// FaultTruncated drops the records of the stream "stream/<name>" below
	// First, or all if First is 0. It can't be undone.
	FaultTruncated FaultKind = "truncated"
	// FaultLagging keeps the VM list ("vms") as it is now.
	FaultLagging FaultKind = "lagging"
	// FaultWorkerDown stops workers: their tasks are lost and they leave the VM
	// list. Switched off, they boot again with another boot id.
	FaultWorkerDown FaultKind = "workerDown"
	// FaultFailing makes tasks that start on the workers fail.
	FaultFailing FaultKind = "failing"
	// FaultLeaving makes the workers' backend servers say that they leave, and
	// the VM list say so after its lag. For "vm/<id>" it is about the list only.
	FaultLeaving FaultKind = "leaving"
	// FaultGone takes "vm/<id>" off the VM list.
	FaultGone FaultKind = "gone"
)

var requestFaults = []FaultKind{FaultDown, FaultSlow, FaultResponseLost, FaultCut, FaultFrozen}

var stateFaults = []FaultKind{FaultTruncated, FaultLagging, FaultWorkerDown, FaultFailing, FaultLeaving, FaultGone}
