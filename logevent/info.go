package logevent

import (
	"slices"

	"go.uber.org/zap/zapcore"
)

// Info describes one event.
type Info struct {
	Number Number
	// Name is the name of the event's constant.
	Name  string
	Level zapcore.Level
	// Message is the fixed text of the event.
	Message string
	// Fields lists the fields that the event carries besides event and name.
	Fields []string
	// Action tells operators what to do.
	Action string
}

// summaries are the events that sum up others, and those few that date them.
var summaries = map[Number]bool{EpochOpened: true, EpochEnded: true, ServingReported: true, TakeoverTimed: true}

// areas lists the events of each area.
var areas = [][]Info{
	processEvents,
	ownershipEvents,
	taskEvents,
	requestEvents,
	resourceEvents,
	peerEvents,
	platformEvents,
	coordinatorEvents,
}

var byNumber = indexByNumber()

func indexByNumber() map[Number]Info {
	index := make(map[Number]Info)
	for _, area := range areas {
		for _, info := range area {
			index[info.Number] = info
		}
	}
	return index
}

// Table lists all events in ascending order of number.
func Table() []Info {
	var all []Info
	for _, area := range areas {
		all = append(all, area...)
	}
	slices.SortFunc(all, func(a, b Info) int { return int(a.Number - b.Number) })
	return all
}

// Lookup returns the description of an event and whether it exists.
func Lookup(n Number) (Info, bool) {
	info, ok := byNumber[n]
	return info, ok
}
