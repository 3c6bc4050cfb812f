package logevent

import "go.uber.org/zap/zapcore"

// Events of peers and freshness.
const (
	PeerUnreachable       Number = 601
	PeerReachable         Number = 602
	FreshnessRelayed      Number = 603
	FreshnessDirect       Number = 604
	AppendRelayed         Number = 605
	RecordsPulled         Number = 606
	DataCentreUnreachable Number = 607
)

var peerEvents = []Info{
	{PeerUnreachable, "PeerUnreachable", zapcore.WarnLevel, "peer does not answer", []string{"peer", "dataCentre", "error"}, "Check the peer and the network to it."},
	{PeerReachable, "PeerReachable", zapcore.InfoLevel, "peer answers again", []string{"peer", "dataCentre", "duration"}, "None."},
	{FreshnessRelayed, "FreshnessRelayed", zapcore.InfoLevel, "freshness is obtained through a peer", []string{"peer", "age"}, "Check the connection to the log."},
	{FreshnessDirect, "FreshnessDirect", zapcore.InfoLevel, "freshness is obtained from the log again", []string{"age"}, "None."},
	{AppendRelayed, "AppendRelayed", zapcore.DebugLevel, "append relayed through a peer", []string{"peer", "stream"}, "None."},
	{RecordsPulled, "RecordsPulled", zapcore.InfoLevel, "records pulled from a peer", []string{"peer", "from", "to"}, "None."},
	{DataCentreUnreachable, "DataCentreUnreachable", zapcore.WarnLevel, "no entry VM of a data centre answers", []string{"dataCentre"}, "Check the link between the data centres."},
}
