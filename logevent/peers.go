package logevent

import "go.uber.org/zap/zapcore"

// Events of peers and freshness.
const (
	PeerUnreachable Number = 601
	PeerReachable   Number = 602
	RecordsPulled   Number = 606
)

var peerEvents = []Info{
	{PeerUnreachable, "PeerUnreachable", zapcore.WarnLevel, "peer does not answer", []string{"peer", "dataCentre", "error"}, "Check the peer and the network to it."},
	{PeerReachable, "PeerReachable", zapcore.InfoLevel, "peer answers again", []string{"peer", "dataCentre", "duration"}, "None."},
	{RecordsPulled, "RecordsPulled", zapcore.InfoLevel, "records pulled from a peer", []string{"peer", "from", "to"}, "None."},
}
