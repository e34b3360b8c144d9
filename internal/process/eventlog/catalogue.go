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

// Catalogue lists every event in number order.
var Catalogue = []Event{
	NodeStarted, NodeReady, NodeStopping, NodeStopped, NodeIsolated, NodeRejoined,
	ConfigApplied, ConfigAccepted, ConfigLagging, ConfigCaughtUp, ConfigLoaded, ConfigHeadLower, ConfigCompacted,
	OperatorRefused,
}
