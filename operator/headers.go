package operator

// Headers of requests and answers.
const (
	// HeaderResult carries the result code of an answer.
	HeaderResult = "Cactusreel-Result"
	// HeaderOperationID carries the id of an operation. A request without it
	// gets an id, which the answer names.
	HeaderOperationID = "Cactusreel-Operation-Id"
)

// MaxOperationIDBytes bounds an operation id.
const MaxOperationIDBytes = 128
