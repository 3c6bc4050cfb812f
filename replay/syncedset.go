package replay

// syncedSet is the content of the action "Synced".
type syncedSet struct {
	Serial uint64   `json:"serial"`
	VMs    []string `json:"vms"`
}
