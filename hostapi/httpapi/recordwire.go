package httpapi

// RecordWire is a record in a PageWire. Data is base64 in JSON.
type RecordWire struct {
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
}
