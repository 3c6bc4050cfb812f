package replay

// snapshotAction says what came of a snapshot.
type snapshotAction struct {
	Snapshot string `json:"snapshot,omitempty"`
	Covered  int64  `json:"covered,omitempty"`
	Reason   string `json:"reason,omitempty"`
}
