package logevent

import "go.uber.org/zap/zapcore"

// Events of cell ownership.
const (
	Joined           Number = 201
	CellClaimed      Number = 202
	CellReleased     Number = 203
	CellLost         Number = 204
	ClaimRejected    Number = 205
	LeaseExpired     Number = 206
	StateChanged     Number = 207
	PredecessorGone  Number = 208
	TakeoverFinished Number = 209
	PromiseRefused   Number = 210
)

var ownershipEvents = []Info{
	{Joined, "Joined", zapcore.InfoLevel, "join record read back", []string{"offset", "incarnation"}, "None."},
	{CellClaimed, "CellClaimed", zapcore.InfoLevel, "cell claimed", []string{"cell", "term", "reason", "predecessor"}, "None."},
	{CellReleased, "CellReleased", zapcore.InfoLevel, "cell released", []string{"cell", "term", "to"}, "None."},
	{CellLost, "CellLost", zapcore.WarnLevel, "cell lost to a newer term", []string{"cell", "term", "newerTerm", "owner"}, "None; if it recurs, look for pauses of this process."},
	{ClaimRejected, "ClaimRejected", zapcore.InfoLevel, "claim was not accepted", []string{"cell", "expects", "found"}, "None: another VM was first."},
	{LeaseExpired, "LeaseExpired", zapcore.WarnLevel, "lease expired before its renewal was read back", []string{"cells", "age"}, "Check the log and the load of this VM."},
	{StateChanged, "StateChanged", zapcore.InfoLevel, "owner state of a cell changed", []string{"cell", "term", "from", "to"}, "For reduced: check the connection to the log and to the peers."},
	{PredecessorGone, "PredecessorGone", zapcore.InfoLevel, "predecessor is known gone; its slots are in use again", []string{"cell", "predecessor", "reason"}, "None."},
	{TakeoverFinished, "TakeoverFinished", zapcore.InfoLevel, "takeover of a cell finished", []string{"cell", "term", "duration", "workers", "unreachable"}, "None."},
	{PromiseRefused, "PromiseRefused", zapcore.InfoLevel, "promise not to claim was refused", []string{"cell", "peer", "reason"}, "None."},
}
