package resources

// Verb tells what an operation does to a resource.
type Verb string

// Verbs. Cancel applies to jobs; take-out and bring-back apply to data centres.
const (
	VerbPut       Verb = "put"
	VerbDelete    Verb = "delete"
	VerbCancel    Verb = "cancel"
	VerbTakeOut   Verb = "take-out"
	VerbBringBack Verb = "bring-back"
)
