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

// Append requests that a record be appended to the claims stream. The writer
// retries it with the same id until the record has been read back. The actions
// of a step must be executed in order: the CellChanged actions before an Append
// end the authority that its record gives up.
type Append struct {
	Record *recordpb.Record `json:"record"`
}

// AskPromises requests that peers promise not to claim cells that this VM owns.
type AskPromises struct {
	Peers  []string   `json:"peers"`
	Number uint64     `json:"number"`
	Cells  []CellTerm `json:"cells"`
}

// AnswerPromise is the response to PromiseAsked.
type AnswerPromise struct {
	To      string     `json:"to"`
	Number  uint64     `json:"number"`
	Granted []int      `json:"granted"`
	Newer   []CellTerm `json:"newer,omitempty"`
}

// CellChanged reports that the view of a cell has changed. If OwnTerm is new and
// OwnState is not StateNone, the workers must be fenced with that term and the
// task stream opened.
type CellChanged struct {
	View View `json:"view"`
}

// Drain requests that a cell accept no new work and its running requests finish.
// CellDrained reports completion.
type Drain struct {
	Cell int `json:"cell"`
}

// StopCompleted reports that the planned stop is complete: the leave record has
// been read back, or this VM stopped before it joined. In traces it is "Left".
type StopCompleted struct{}

// Superseded reports that another process has joined for this VM. This process
// no longer owns any cell and must exit.
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
