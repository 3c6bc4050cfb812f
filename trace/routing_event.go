package trace

import (
	"time"

	"github.com/cactusreel/cactusreel/routing"
)

// Events of a router. Events of one request identify it by a label (Request) that
// the writer of the trace chooses.

// TableUpdated replaces the routing table. The snapshot's Now is ignored; the
// time of the line is used instead.
type TableUpdated struct {
	Snapshot routing.Snapshot `json:"snapshot"`
}

// AuthoritySet sets the authority over a cell. State is "lost", "held",
// "vouched" or "reduced".
type AuthoritySet struct {
	Cell         int           `json:"cell"`
	Term         int64         `json:"term"`
	State        string        `json:"state"`
	FullUntil    time.Duration `json:"fullUntil,omitempty"`
	UsableFrom   time.Duration `json:"usableFrom,omitempty"`
	Predecessors int           `json:"predecessors,omitempty"`
}

// RequestRouted is a request to be routed. Its action is "Decision". In traces it
// is "Routed".
type RequestRouted struct {
	Request     string `json:"request"`
	Service     string `json:"service"`
	Caller      uint64 `json:"caller,omitempty"`
	Random      uint64 `json:"random,omitempty"`
	Criticality uint8  `json:"criticality,omitempty"`
	OwnCells    bool   `json:"ownCells,omitempty"`
}

// SlotUsed occurs just before a request is sent to its server. Its action is
// "Slot".
type SlotUsed struct {
	Request string `json:"request"`
}

// SlotReleased releases the slot of a request.
type SlotReleased struct {
	Request string `json:"request"`
}

// SlotAbandoned keeps the slot of a request in use until a time, for a request
// that may still run.
type SlotAbandoned struct {
	Request string        `json:"request"`
	Until   time.Duration `json:"until"`
}

// ServerLeaving reports that the server of a request is leaving.
type ServerLeaving struct {
	Request string `json:"request"`
}

// RoutingEvents returns a zero value of each event of a router.
func RoutingEvents() []Event {
	return []Event{
		TableUpdated{}, AuthoritySet{}, RequestRouted{}, SlotUsed{}, SlotReleased{},
		SlotAbandoned{}, ServerLeaving{},
	}
}

// Type returns "TableUpdated".
func (TableUpdated) Type() string { return "TableUpdated" }

// Type returns "AuthoritySet".
func (AuthoritySet) Type() string { return "AuthoritySet" }

// Type returns "Routed".
func (RequestRouted) Type() string { return "Routed" }

// Type returns "SlotUsed".
func (SlotUsed) Type() string { return "SlotUsed" }

// Type returns "SlotReleased".
func (SlotReleased) Type() string { return "SlotReleased" }

// Type returns "SlotAbandoned".
func (SlotAbandoned) Type() string { return "SlotAbandoned" }

// Type returns "ServerLeaving".
func (ServerLeaving) Type() string { return "ServerLeaving" }
