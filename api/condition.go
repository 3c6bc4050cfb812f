package api

// ConditionStatus is the status of a condition.
type ConditionStatus string

// Condition statuses.
const (
	ConditionTrue    ConditionStatus = "true"
	ConditionFalse   ConditionStatus = "false"
	ConditionUnknown ConditionStatus = "unknown"
)

// Condition is one aspect of the state of a resource, with its reason.
type Condition struct {
	Type   string          `json:"type"`
	Status ConditionStatus `json:"status"`
	// Reason is a single machine-readable word.
	Reason string `json:"reason,omitempty"`
	// Message is a human-readable sentence.
	Message string `json:"message,omitempty"`
}
