package operator

// Headers of requests and responses.
const (
	// HeaderResult carries the result code of a response.
	HeaderResult = "Cactusreel-Result"
	// HeaderOperationID carries the id of an operation. A request without it
	// gets an id, which the response carries.
	HeaderOperationID = "Cactusreel-Operation-Id"
)

// MaxOperationIDBytes bounds an operation id.
const MaxOperationIDBytes = 128
