package api

// object is a JSON object in the order of its fields.
type object []field
