package operator

// IssuedID is the body of the response to POST /v1/request-ids.
type IssuedID struct {
	ID string `json:"id"`
}
