package replay

// routingDecision is the content of the action "Decision".
type routingDecision struct {
	Request string `json:"request"`
	Code    string `json:"code"`
	Worker  string `json:"worker,omitempty"`
	Peer    string `json:"peer,omitempty"`
	Term    int64  `json:"term,omitempty"`
}
