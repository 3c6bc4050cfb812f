package replay

// decision is the content of the action "Decision".
type decision struct {
	Request string `json:"request"`
	Code    string `json:"code"`
	Worker  string `json:"worker,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Term    int64  `json:"term,omitempty"`
}
