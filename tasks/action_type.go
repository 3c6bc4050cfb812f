package tasks

// Type returns "Append".
func (Append) Type() string { return "Append" }

// Type returns "Fence".
func (Fence) Type() string { return "Fence" }

// Type returns "Observe".
func (Observe) Type() string { return "Observe" }

// Type returns "Start".
func (Start) Type() string { return "Start" }

// Type returns "Renew".
func (Renew) Type() string { return "Renew" }

// Type returns "Checkpoint".
func (Checkpoint) Type() string { return "Checkpoint" }

// Type returns "Stop".
func (Stop) Type() string { return "Stop" }

// Type returns "Forget".
func (Forget) Type() string { return "Forget" }

// Type returns "OfferMove".
func (OfferMove) Type() string { return "OfferMove" }

// Type returns "ConfirmMove".
func (ConfirmMove) Type() string { return "ConfirmMove" }

// Type returns "SnapshotDue".
func (SnapshotDue) Type() string { return "SnapshotDue" }
