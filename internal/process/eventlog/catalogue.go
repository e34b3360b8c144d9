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
	NodeRefusing = Event{1007, logrus.InfoLevel, "stopping node refuses requests and closes idle connections"}
)

// Events of configuration, 1100 to 1149.
var (
	ConfigApplied        = Event{1101, logrus.InfoLevel, "configuration revision applied"}
	ConfigAccepted       = Event{1102, logrus.InfoLevel, "configuration change accepted"}
	ConfigHeadUnreadable = Event{1103, logrus.WarnLevel, "configuration head could not be read"}
	// ConfigHeadReadable follows ConfigHeadUnreadable once the store answers again.
	ConfigHeadReadable = Event{1104, logrus.InfoLevel, "configuration head is read again"}
	// ConfigLoaded reports a load of the whole configuration instead of single
	// records: at start, and after the node fell behind the oldest record in
	// the log.
	ConfigLoaded = Event{1105, logrus.InfoLevel, "configuration loaded as a whole"}
	// ConfigHeadLower means that the store has lost accepted revisions.
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
	OwnershipAcquired  = Event{1205, logrus.InfoLevel, "controller role acquired"}
	OwnershipLost      = Event{1206, logrus.WarnLevel, "controller role was taken over by another node"}
)

// Events of group controllers, 1250 to 1299.
var (
	GroupStep       = Event{1251, logrus.InfoLevel, "group controller took a step"}
	GroupStepFailed = Event{1252, logrus.WarnLevel, "group controller could not take a step and will plan again"}
	OrderFailed     = Event{1253, logrus.WarnLevel, "endpoint did not carry out an order"}
	OrderStale      = Event{1254, logrus.WarnLevel, "endpoint refused an order with an old fencing token"}
)

// Events of the configuration and host feeds, 1300 to 1349.
var (
	FeedLost           = Event{1301, logrus.WarnLevel, "the store does not answer a feed; other nodes are asked"}
	FeedRegained       = Event{1302, logrus.InfoLevel, "the store answers a feed again"}
	FeedCompacted      = Event{1303, logrus.WarnLevel, "history of a feed is gone; the whole table is read"}
	FeedFromPeer       = Event{1304, logrus.InfoLevel, "another node supplied changes of a feed"}
	ConfigInForce      = Event{1305, logrus.InfoLevel, "configuration revision is in force at this node"}
	ConfigUnusable     = Event{1306, logrus.ErrorLevel, "configuration cannot be decoded; the last one stays in force"}
	HostUnusable       = Event{1307, logrus.WarnLevel, "registration of a host is unusable and is ignored"}
	HostChanged        = Event{1308, logrus.InfoLevel, "registration of a host changed"}
	HostRemoved        = Event{1309, logrus.InfoLevel, "registration of a host was removed"}
	FeedHubFailed      = Event{1311, logrus.WarnLevel, "node that reads a feed for others failed; the store is asked"}
	HubChosen          = Event{1312, logrus.InfoLevel, "another node is the hub of this node's failure domain"}
	StoreRestored      = Event{1313, logrus.WarnLevel, "the store has come back from an older copy; what was in force stays until it is written again"}
	NodeRowUnusable    = Event{1314, logrus.WarnLevel, "row of a node is unusable and is ignored"}
	HostSaysLeaving    = Event{1315, logrus.InfoLevel, "host says in an answer that it leaves; it gets no new requests"}
	EvacuationInForce  = Event{1316, logrus.InfoLevel, "evacuation of a failure domain is in force at this node; its hosts get no requests"}
	EvacuationEnded    = Event{1317, logrus.InfoLevel, "evacuation of a failure domain has ended at this node"}
	EvacuationUnknown  = Event{1318, logrus.WarnLevel, "evacuation names a failure domain that no host is in; it changes nothing"}
	EvacuationLost     = Event{1319, logrus.WarnLevel, "request of an evacuation is missing in the older copy of the store; it stays in force for 30 s"}
	HostCold           = Event{1320, logrus.InfoLevel, "host is cold; all nodes together limit what they send to it"}
	HostRemovalDelayed = Event{1310, logrus.InfoLevel, "registration of a host lapsed around an outage of the store; the host is kept for now"}
)

// Events of requests, 1350 to 1399.
var (
	RequestPlaced          = Event{1351, logrus.InfoLevel, "request was sent to an endpoint"}
	RequestNotPlaced       = Event{1352, logrus.InfoLevel, "no endpoint has room for a request"}
	RequestRetried         = Event{1353, logrus.WarnLevel, "request was retried after a failed attempt"}
	RequestRefused         = Event{1354, logrus.InfoLevel, "request was refused"}
	RequestAnswered        = Event{1355, logrus.InfoLevel, "request was answered"}
	CallerDisconnected     = Event{1356, logrus.InfoLevel, "caller disconnected before the end of its answer"}
	StreamMoved            = Event{1357, logrus.WarnLevel, "stream continues at another group"}
	StreamIncomplete       = Event{1358, logrus.WarnLevel, "stream was ended as incomplete"}
	RetryBudgetSpent       = Event{1359, logrus.WarnLevel, "retry budget is exhausted; a request is not retried"}
	GroupSuspected         = Event{1360, logrus.WarnLevel, "all streams of a group are stalled; it takes no requests for now"}
	AttemptBroken          = Event{1362, logrus.WarnLevel, "connection of an attempt broke before the end of its answer"}
	HostCrashed            = Event{1363, logrus.WarnLevel, "host crashed before it began to answer a request, which is suspected"}
	PoisonFound            = Event{1364, logrus.ErrorLevel, "requests that crash hosts are refused"}
	PoisonCleared          = Event{1365, logrus.InfoLevel, "requests that were refused because they crash hosts are accepted again"}
	PoisonTried            = Event{1366, logrus.WarnLevel, "request that may crash a host is sent, to see whether it still does"}
	RateLimitChanged       = Event{1367, logrus.InfoLevel, "limit of requests that a host names has changed"}
	SuspectAnswered        = Event{1368, logrus.InfoLevel, "request that was at crashed hosts was answered; it is no longer suspected"}
	HostCrashedAfterGiveUp = Event{1369, logrus.WarnLevel, "host crashed shortly after attempts at it were given up; their requests are suspected"}
	RequestHedged          = Event{1370, logrus.WarnLevel, "host is silent; its request was sent to another host too"}
	StreamStayed           = Event{1371, logrus.InfoLevel, "silent host went on; the stream stays at its group"}
	StreamAwaitsRoom       = Event{1372, logrus.WarnLevel, "attempt of a stream that has begun failed and no group has room; the stream waits"}
	AnswerWithheld         = Event{1373, logrus.WarnLevel, "host's status would promise that the request did not run; the caller got 502 instead"}
	HostWaits              = Event{1380, logrus.InfoLevel, "host refused a request and wants no others for a time"}
	HostFilledAgain        = Event{1381, logrus.InfoLevel, "time without requests that a host asked for has ended; it is filled again"}
	CoordinatorChosen      = Event{1390, logrus.InfoLevel, "another node chooses the groups for requests of a model"}
	CoordinatorSilent      = Event{1391, logrus.WarnLevel, "node that chooses groups does not answer; another one is asked for a time"}
	RequestPanicked        = Event{1361, logrus.ErrorLevel, "handling of a request panicked; the request was ended"}
)

// Events of limits on callers, 1500 to 1549.
var (
	BodyRefused      = Event{1501, logrus.WarnLevel, "body of a request was refused: too long, too slow, or no memory for it"}
	ConnectionClosed = Event{1502, logrus.WarnLevel, "connection was closed or refused because of a limit"}
	AnswerNotTaken   = Event{1503, logrus.WarnLevel, "answer was cut because its caller does not take it and others need the memory"}
)

// Events of group formation, 1400 to 1449.
var (
	LeaderElected   = Event{1401, logrus.InfoLevel, "node leads the formation of groups"}
	LeaderLost      = Event{1402, logrus.WarnLevel, "node no longer leads the formation of groups"}
	LeaderUnknown   = Event{1403, logrus.WarnLevel, "leadership could not be read or renewed"}
	OrderSent       = Event{1404, logrus.InfoLevel, "order was sent to a host"}
	OrderUnanswered = Event{1405, logrus.WarnLevel, "order to a host failed or has no answer; the host's state decides what follows"}
	MemberLost      = Event{1406, logrus.WarnLevel, "host cannot be connected to or answers no probes, and counts as lost"}
	MemberAnswers   = Event{1407, logrus.InfoLevel, "host answers probes"}
	MemberSlow      = Event{1408, logrus.WarnLevel, "host works slower than usual and is replaced where there is a spare"}
	GroupsPlanned   = Event{1409, logrus.InfoLevel, "groups in service changed"}
	MemberSilent    = Event{1410, logrus.WarnLevel, "host accepts connections but does not answer probes; its group ends at once only if it is idle"}
)

// Events of logging itself, 1450 to 1499.
var (
	LinesDropped     = Event{1451, logrus.WarnLevel, "log lines were dropped because the reader is slow or there were too many"}
	SettingsReloaded = Event{1452, logrus.InfoLevel, "settings were read again"}
)

// Events of caps and claims, 1700 to 1799.
var (
	SharesReclaimed     = Event{1701, logrus.WarnLevel, "cap shares of a lost node were reclaimed"}
	SharesGivenUp       = Event{1702, logrus.WarnLevel, "node gave up its cap shares: neither the table service nor the host list knows it as live"}
	SharesReturned      = Event{1703, logrus.InfoLevel, "node may use its cap shares again"}
	ClaimsRemoved       = Event{1704, logrus.InfoLevel, "old claims were removed"}
	ClaimAnswerTooLarge = Event{1705, logrus.WarnLevel, "answer of a claimed call was too large to record"}
	CrashSuspectAdded   = Event{1706, logrus.WarnLevel, "request fingerprint reached the crash limit and is refused"}
)

// Catalogue lists every event in ascending order of its number.
var Catalogue = []Event{
	NodeStarted,
	NodeReady,
	NodeStopping,
	NodeStopped,
	NodeIsolated,
	NodeRejoined,
	NodeRefusing,
	ConfigApplied,
	ConfigAccepted,
	ConfigHeadUnreadable,
	ConfigHeadReadable,
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
	FeedLost,
	FeedRegained,
	FeedCompacted,
	FeedFromPeer,
	ConfigInForce,
	ConfigUnusable,
	HostUnusable,
	HostChanged,
	HostRemoved,
	HostRemovalDelayed,
	FeedHubFailed,
	HubChosen,
	StoreRestored,
	NodeRowUnusable,
	HostSaysLeaving,
	EvacuationInForce,
	EvacuationEnded,
	EvacuationUnknown,
	EvacuationLost,
	HostCold,
	RequestPlaced,
	RequestNotPlaced,
	RequestRetried,
	RequestRefused,
	RequestAnswered,
	CallerDisconnected,
	StreamMoved,
	StreamIncomplete,
	RetryBudgetSpent,
	GroupSuspected,
	RequestPanicked,
	AttemptBroken,
	HostCrashed,
	PoisonFound,
	PoisonCleared,
	PoisonTried,
	RateLimitChanged,
	SuspectAnswered,
	HostCrashedAfterGiveUp,
	RequestHedged,
	StreamStayed,
	StreamAwaitsRoom,
	AnswerWithheld,
	HostWaits,
	HostFilledAgain,
	CoordinatorChosen,
	CoordinatorSilent,
	LeaderElected,
	LeaderLost,
	LeaderUnknown,
	OrderSent,
	OrderUnanswered,
	MemberLost,
	MemberAnswers,
	MemberSlow,
	GroupsPlanned,
	MemberSilent,
	LinesDropped,
	SettingsReloaded,
	BodyRefused,
	ConnectionClosed,
	AnswerNotTaken,
	SharesReclaimed,
	SharesGivenUp,
	SharesReturned,
	ClaimsRemoved,
	ClaimAnswerTooLarge,
	CrashSuspectAdded,
}
