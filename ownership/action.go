package ownership

import "github.com/cactusreel/cactusreel/record/recordpb"

// Action is an output of Machine.Step.
type Action interface {
	// Type returns the action's name in traces.
	Type() string
}

// Actions returns a zero value of each action type, for decoding traces.
func Actions() []Action {
	return []Action{
		Append{}, AskPromises{}, AnswerPromise{}, CellChanged{}, Drain{}, StopCompleted{}, Superseded{},
	}
}

// Append asks for a record to be appended to the claims stream. The writer
// repeats it, with the same id, until it has been read back. The actions of a
// step have to be carried out in their order: the CellChanged actions before it
// end authority that the record gives up.
type Append struct {
	Record *recordpb.Record `json:"record"`
}

// AskPromises asks peers not to claim cells that this VM owns.
type AskPromises struct {
	Peers  []string   `json:"peers"`
	Number uint64     `json:"number"`
	Cells  []CellTerm `json:"cells"`
}

// AnswerPromise answers PromiseAsked.
type AnswerPromise struct {
	To      string     `json:"to"`
	Number  uint64     `json:"number"`
	Granted []int      `json:"granted"`
	Newer   []CellTerm `json:"newer,omitempty"`
}

// CellChanged says that the view of a cell has changed. A new term of this VM
// in Own other than StateNone means that the workers have to be fenced with
// it and the task stream opened.
type CellChanged struct {
	View View `json:"view"`
}

// Drain asks for new work of a cell to stop and for its requests to end.
// CellDrained answers it.
type Drain struct {
	Cell int `json:"cell"`
}

// StopCompleted says that the planned stop is complete: the leave record was read back.
type StopCompleted struct{}

// Superseded says that another process has joined for this VM. This process
// owns nothing any more and must end.
type Superseded struct{}

// Type returns "Append".
func (Append) Type() string { return "Append" }

// Type returns "AskPromises".
func (AskPromises) Type() string { return "AskPromises" }

// Type returns "AnswerPromise".
func (AnswerPromise) Type() string { return "AnswerPromise" }

// Type returns "CellChanged".
func (CellChanged) Type() string { return "CellChanged" }

// Type returns "Drain".
func (Drain) Type() string { return "Drain" }

// Type returns "Left".
func (StopCompleted) Type() string { return "Left" }

// Type returns "Superseded".
func (Superseded) Type() string { return "Superseded" }
