package logevent

import "go.uber.org/zap/zapcore"

// Events of cell ownership.
const (
	CellClaimed  Number = 202
	CellLost     Number = 204
	StateChanged Number = 207
)

var ownershipEvents = []Info{
	{CellClaimed, "CellClaimed", zapcore.InfoLevel, "cell claimed", []string{"cell", "term", "reason", "predecessor"}, "None."},
	{CellLost, "CellLost", zapcore.WarnLevel, "cell lost to a newer term", []string{"cell", "term", "newerTerm", "owner"}, "None; if it recurs, look for pauses of this process."},
	{StateChanged, "StateChanged", zapcore.InfoLevel, "owner state of a cell changed", []string{"cell", "term", "from", "to"}, "For reduced: check the connection to the log and to the peers."},
}
