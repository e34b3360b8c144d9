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

// Events of configuration, 1100 to 1149.
var (
	ConfigApplied  = Event{1101, logrus.InfoLevel, "configuration revision applied"}
	ConfigAccepted = Event{1102, logrus.InfoLevel, "configuration change accepted"}
	ConfigLagging  = Event{1103, logrus.WarnLevel, "configuration head could not be read"}
	// ConfigCaughtUp follows ConfigLagging when the store answers again.
	ConfigCaughtUp = Event{1104, logrus.InfoLevel, "configuration head is read again"}
	// ConfigLoaded replaces single records: at start, and when the node was
	// further behind than the log reaches back.
	ConfigLoaded = Event{1105, logrus.InfoLevel, "configuration loaded as a whole"}
	// ConfigHeadLower means that the store lost accepted revisions.
	ConfigHeadLower = Event{1106, logrus.ErrorLevel, "configuration head is lower than the revision in force and is ignored"}
	ConfigCompacted = Event{1107, logrus.InfoLevel, "old configuration log entries deleted"}
)

// Events of the resource API, 1150 to 1199.
var (
	OperatorRefused = Event{1150, logrus.WarnLevel, "operator request without a valid token refused"}
)

// Events of leases, 1200 to 1249.
var (
	LeaseStarted       = Event{1201, logrus.InfoLevel, "session started"}
	LeaseRenewalFailed = Event{1202, logrus.WarnLevel, "session could not be renewed"}
	LeaseLost          = Event{1203, logrus.ErrorLevel, "session was replaced by another process of this node name"}
	LeaseReleased      = Event{1204, logrus.InfoLevel, "session released"}
	OwnershipAcquired  = Event{1205, logrus.InfoLevel, "controller duty acquired"}
	OwnershipLost      = Event{1206, logrus.WarnLevel, "controller duty was taken over by another node"}
)

// Events of group controllers, 1250 to 1299.
var (
	GroupStep       = Event{1251, logrus.InfoLevel, "group controller took a step"}
	GroupStepFailed = Event{1252, logrus.WarnLevel, "group controller could not take a step and will plan again"}
	OrderFailed     = Event{1253, logrus.WarnLevel, "endpoint did not carry out an order"}
	OrderStale      = Event{1254, logrus.WarnLevel, "endpoint refused an order with an old fencing token"}
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
	NodeStarted,
	NodeReady,
	NodeStopping,
	NodeStopped,
	NodeIsolated,
	NodeRejoined,
	ConfigApplied,
	ConfigAccepted,
	ConfigLagging,
	ConfigCaughtUp,
	ConfigLoaded,
	ConfigHeadLower,
	ConfigCompacted,
	OperatorRefused,
	LeaseStarted,
	LeaseRenewalFailed,
	LeaseLost,
	LeaseReleased,
	OwnershipAcquired,
	OwnershipLost,
	GroupStep,
	GroupStepFailed,
	OrderFailed,
	OrderStale,
	SharesReclaimed,
	SharesVoid,
	SharesReturned,
	ClaimsSwept,
	ClaimNotKept,
	CrashSuspectAdded,
}
