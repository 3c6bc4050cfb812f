package httpapi

// Reason tells the hostapi.Err values apart, which share a result code.
type Reason string

// Reasons of a refusal.
const (
	ReasonLowerTerm      Reason = "LowerTerm"
	ReasonDeadlinePassed Reason = "DeadlinePassed"
	ReasonOtherBoot      Reason = "OtherBoot"
	ReasonNoRoom         Reason = "NoRoom"
	ReasonNoAttempt      Reason = "NoAttempt"
	ReasonOldAttempt     Reason = "OldAttempt"
	ReasonTruncated      Reason = "Truncated"
)
