package replay

// snapshotAction is the content of the actions "Whole", "Restored" and
// "NotRestored".
type snapshotAction struct {
	Snapshot string `json:"snapshot,omitempty"`
	Covered  int64  `json:"covered,omitempty"`
	// Reason says why the snapshot was not restored.
	Reason string `json:"reason,omitempty"`
}
