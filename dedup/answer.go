package dedup

// Answer is a complete response. It must not be modified after it was passed
// to a table.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size returns the bytes of the body and the headers.
func (a *Answer) size() int64 {
	n := len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}
