package logevent

import "go.uber.org/zap/zapcore"

// Events of cell ownership.
const (
	CellClaimed   Number = 202
	CellLost      Number = 204
	StateChanged  Number = 207
	RescueStarted Number = 211
	CellRescued   Number = 212
)

var ownershipEvents = []Info{
	{CellClaimed, "CellClaimed", zapcore.InfoLevel, "cell claimed", []string{"cell", "term", "reason", "predecessor"}, "None."},
	{CellLost, "CellLost", zapcore.WarnLevel, "cell lost to a newer term", []string{"cell", "term", "newerTerm", "owner"}, "None; if it recurs, look for pauses of this process."},
	{StateChanged, "StateChanged", zapcore.InfoLevel, "owner state of a cell changed", []string{"cell", "term", "from", "to"}, "For state reduced: check the connections to the log and to the peers."},
	{RescueStarted, "RescueStarted", zapcore.WarnLevel, "reading the claims of an unresponsive data centre so that its tasks can be moved", []string{"dataCentre"}, "Check the data centre; its tasks are moved after the offline limit."},
	{CellRescued, "CellRescued", zapcore.WarnLevel, "moving tasks out of a cell of an unresponsive data centre", []string{"dataCentre", "cell"}, "None."},
}
