package replay

// verdict is the content of the action "Verdict". Verdict is "run", "wait",
// "answer", "send", "acknowledged" or the name of a result code.
type verdict struct {
	Request string   `json:"request,omitempty"`
	ID      string   `json:"id,omitempty"`
	Verdict string   `json:"verdict"`
	Missing []string `json:"missing,omitempty"`
	Status  int      `json:"status,omitempty"`
	Body    string   `json:"body,omitempty"`
}
