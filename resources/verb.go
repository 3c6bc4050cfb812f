package resources

// Verb is the action of an operation on a resource.
type Verb string

// Verbs. VerbCancel applies only to jobs. VerbTakeOut and VerbBringBack apply
// only to data centres: they take a data centre out of service and bring it back.
const (
	VerbPut       Verb = "put"
	VerbDelete    Verb = "delete"
	VerbCancel    Verb = "cancel"
	VerbTakeOut   Verb = "take-out"
	VerbBringBack Verb = "bring-back"
)
