package httpapi

// Reason distinguishes hostapi.Err values that have the same result code.
type Reason string

// Reasons for an error response.
const (
	ReasonLowerTerm      Reason = "LowerTerm"
	ReasonDeadlinePassed Reason = "DeadlinePassed"
	ReasonOtherBoot      Reason = "OtherBoot"
	ReasonNoRoom         Reason = "NoRoom"
	ReasonNoAttempt      Reason = "NoAttempt"
	ReasonOldAttempt     Reason = "OldAttempt"
	ReasonTruncated      Reason = "Truncated"
)
