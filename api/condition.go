package api

// ConditionStatus is the status of a condition.
type ConditionStatus string

// Condition statuses.
const (
	ConditionTrue    ConditionStatus = "true"
	ConditionFalse   ConditionStatus = "false"
	ConditionUnknown ConditionStatus = "unknown"
)

// Condition says why a resource is as it is.
type Condition struct {
	Type   string          `json:"type"`
	Status ConditionStatus `json:"status"`
	// Reason is one word, for programs.
	Reason string `json:"reason,omitempty"`
	// Message is a sentence, for people.
	Message string `json:"message,omitempty"`
}
