package trace

import (
	"time"

	"github.com/cactusreel/cactusreel/routing"
)

// Events of a router. Those of one request name it by a label that is chosen
// where the trace is written.

// TableUpdated is a new routing table. The snapshot's Now is ignored: the
// line's time counts.
type TableUpdated struct {
	Snapshot routing.Snapshot `json:"snapshot"`
}

// AuthoritySet is the authority over a cell. State is "lost", "held",
// "vouched" or "reduced".
type AuthoritySet struct {
	Cell         int           `json:"cell"`
	Term         int64         `json:"term"`
	State        string        `json:"state"`
	FullUntil    time.Duration `json:"fullUntil,omitempty"`
	UsableFrom   time.Duration `json:"usableFrom,omitempty"`
	Predecessors int           `json:"predecessors,omitempty"`
}

// RequestRouted is a routing decision. Its action is "Decision".
type RequestRouted struct {
	Request     string `json:"request"`
	Service     string `json:"service"`
	Caller      uint64 `json:"caller,omitempty"`
	Random      uint64 `json:"random,omitempty"`
	Criticality uint8  `json:"criticality,omitempty"`
	OwnCells    bool   `json:"ownCells,omitempty"`
}

// SlotUsed is the moment before a request is sent to its server. Its action
// is "Slot".
type SlotUsed struct {
	Request string `json:"request"`
}

// SlotReleased frees the slot of a request.
type SlotReleased struct {
	Request string `json:"request"`
}

// SlotAbandoned keeps the slot of a request taken until a time.
type SlotAbandoned struct {
	Request string        `json:"request"`
	Until   time.Duration `json:"until"`
}

// ServerLeaving is the word of a request's server that it is leaving.
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
