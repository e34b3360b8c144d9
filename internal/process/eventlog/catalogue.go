package eventlog

import "github.com/sirupsen/logrus"

// Events of the process, 1000 to 1099.
var (
	NodeStarted  = Event{1001, logrus.InfoLevel, "node started"}
	NodeReady    = Event{1002, logrus.InfoLevel, "node is ready"}
	NodeStopping = Event{1003, logrus.InfoLevel, "node is stopping"}
	NodeStopped  = Event{1004, logrus.InfoLevel, "node stopped"}
	NodeIsolated = Event{1005, logrus.WarnLevel, "node reaches neither the table service nor a peer and refuses work"}
	NodeRejoined = Event{1006, logrus.InfoLevel, "node reaches the table service or a peer again"}
)

// Events of configuration, 1100 to 1199.
var (
	ConfigApplied  = Event{1101, logrus.InfoLevel, "configuration revision applied"}
	ConfigAccepted = Event{1102, logrus.InfoLevel, "configuration change accepted"}
	ConfigLagging  = Event{1103, logrus.WarnLevel, "configuration head could not be read"}
)

// Events of caps and claims, 1700 to 1799.
var (
	SharesReclaimed   = Event{1701, logrus.WarnLevel, "cap shares of a dead node were reclaimed"}
	SharesVoid        = Event{1702, logrus.WarnLevel, "node gave up its cap shares: neither the table service nor the host list knows it as live"}
	SharesReturned    = Event{1703, logrus.InfoLevel, "node may use its cap shares again"}
	ClaimsSwept       = Event{1704, logrus.InfoLevel, "old claims were removed"}
	ClaimNotKept      = Event{1705, logrus.WarnLevel, "answer of a claimed call was too large to record"}
	CrashSuspectAdded = Event{1706, logrus.WarnLevel, "request fingerprint reached the crash limit and is refused"}
)

// Catalogue lists every event in number order.
var Catalogue = []Event{
	NodeStarted, NodeReady, NodeStopping, NodeStopped, NodeIsolated, NodeRejoined,
	ConfigApplied, ConfigAccepted, ConfigLagging,
	SharesReclaimed, SharesVoid, SharesReturned, ClaimsSwept, ClaimNotKept, CrashSuspectAdded,
}
