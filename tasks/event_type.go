package tasks

// Type returns "Tick".
func (Tick) Type() string { return "Tick" }

// Type returns "Applied".
func (Applied) Type() string { return "Applied" }

// Type returns "WorkChanged".
func (WorkChanged) Type() string { return "WorkChanged" }

// Type returns "WorkThrough".
func (WorkThrough) Type() string { return "WorkThrough" }

// Type returns "WorkersListed".
func (WorkersListed) Type() string { return "WorkersListed" }

// Type returns "Owned".
func (Owned) Type() string { return "Owned" }

// Type returns "Disowned".
func (Disowned) Type() string { return "Disowned" }

// Type returns "AuthorityChanged".
func (AuthorityChanged) Type() string { return "AuthorityChanged" }

// Type returns "PredecessorsChanged".
func (PredecessorsChanged) Type() string { return "PredecessorsChanged" }

// Type returns "PlacingChanged".
func (PlacingChanged) Type() string { return "PlacingChanged" }

// Type returns "PlacementDecided".
func (PlacementDecided) Type() string { return "PlacementDecided" }

// Type returns "EvictRequested".
func (EvictRequested) Type() string { return "EvictRequested" }

// Type returns "MoveRequested".
func (MoveRequested) Type() string { return "MoveRequested" }

// Type returns "CheckpointRequested".
func (CheckpointRequested) Type() string { return "CheckpointRequested" }

// Type returns "Observed".
func (Observed) Type() string { return "Observed" }

// Type returns "StartAnswered".
func (StartAnswered) Type() string { return "StartAnswered" }

// Type returns "CheckpointAnswered".
func (CheckpointAnswered) Type() string { return "CheckpointAnswered" }

// Type returns "StopAnswered".
func (StopAnswered) Type() string { return "StopAnswered" }

// Type returns "MoveOffered".
func (MoveOffered) Type() string { return "MoveOffered" }

// Type returns "MoveConfirmed".
func (MoveConfirmed) Type() string { return "MoveConfirmed" }
