package vwmetrics

// Kind is the type of a metric in the Prometheus text format.
type Kind string

// The kinds of metrics.
const (
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
	KindHistogram Kind = "histogram"
)

// Unit is what a metric counts. Names end with it where it is a unit of measure.
type Unit string

// The units of metrics.
const (
	UnitCount   Unit = "count"
	UnitSeconds Unit = "seconds"
	UnitBytes   Unit = "bytes"
	// UnitBool is 1 or 0.
	UnitBool Unit = "bool"
)

// Description is a metric's fixed part. docs/operator/metrics.md says what to do about each.
type Description struct {
	Name string
	Kind Kind
	Unit Unit
	Help string
}

// catalogue collects the descriptions below.
var catalogue []Description

func describe(name string, kind Kind, unit Unit, help string) Description {
	description := Description{Name: "vanillawind_" + name, Kind: kind, Unit: unit, Help: help}
	catalogue = append(catalogue, description)
	return description
}

// Descriptions returns all metrics in the order of the documentation.
func Descriptions() []Description {
	return append([]Description(nil), catalogue...)
}

// The metrics of every process.
var (
	LeaseFresh       = describe("lease_fresh", KindGauge, UnitBool, "Whether the process holds a fresh configuration lease.")
	ConfigVersion    = describe("config_version", KindGauge, UnitCount, "Version of the rules that the process acts under.")
	Links            = describe("links", KindGauge, UnitCount, "Open links to other processes.")
	EventsDropped    = describe("events_dropped", KindGauge, UnitCount, "Events that the event log dropped since its last EventsDropped line.")
	IntakeHeldBytes  = describe("intake_held_bytes", KindGauge, UnitBytes, "Bytes of callers' requests that the process holds.")
	IntakeTotalBytes = describe("intake_total_bytes", KindGauge, UnitBytes, "Bytes of callers' requests that the process holds at most.")
	// IntakeRefused has the label reason.
	IntakeRefused = describe("intake_refused_total", KindCounter, UnitCount, "Requests that the process had no room for, by reason.")
	// MessagesWasted has the label reason.
	MessagesWasted = describe("messages_wasted_total", KindCounter, UnitCount, "Messages that helped no task, by reason.")
)

// The metrics of entries.
var (
	JobsComplete       = describe("jobs_complete_total", KindCounter, UnitCount, "Jobs and requests with a complete answer.")
	JobsFailed         = describe("jobs_failed_total", KindCounter, UnitCount, "Jobs and requests that failed after acceptance.")
	JobsRefused        = describe("jobs_refused_total", KindCounter, UnitCount, "Best-effort jobs that were refused and of which nothing ran.")
	JobsRefusedBy      = describe("jobs_refused_by_total", KindCounter, UnitCount, "Best-effort jobs that were refused, by cause and level.")
	JobsActive         = describe("jobs_active", KindGauge, UnitCount, "Jobs and requests without an answer yet.")
	TasksSent          = describe("tasks_sent_total", KindCounter, UnitCount, "Tasks sent to agents.")
	TasksRefused       = describe("tasks_refused_total", KindCounter, UnitCount, "Tasks that an agent sent back as not run.")
	TasksWaiting       = describe("tasks_waiting", KindGauge, UnitCount, "Tasks in the entry's queue.")
	TasksSuspected     = describe("tasks_suspected_total", KindCounter, UnitCount, "Times that a task became suspect because a worker crashed under it.")
	TasksGivenUp       = describe("tasks_given_up_total", KindCounter, UnitCount, "Tasks that were given up because workers crashed under them.")
	TasksRequeued      = describe("tasks_requeued_total", KindCounter, UnitCount, "Tasks that were placed again without a report of the end of their runs.")
	JobsAbandoned      = describe("jobs_abandoned_total", KindCounter, UnitCount, "Jobs whose callers were found to have left when they were handed in or tasks could be sent.")
	RulesFetches       = describe("rules_fetches_total", KindCounter, UnitCount, "Answers of control with parts of newer rules.")
	RulesBytesFetched  = describe("rules_bytes_fetched_total", KindCounter, UnitCount, "Compressed bytes of the fetched parts of rules.")
	RulesFetchesFailed = describe("rules_fetches_failed_total", KindCounter, UnitCount, "Calls for parts of newer rules that control did not answer in time.")
	Takeovers          = describe("takeovers_total", KindCounter, UnitCount, "Jobs taken over from another entry.")
	Retries            = describe("retries_total", KindCounter, UnitCount, "Repeated attempts of idempotent requests.")
	DemandsSent        = describe("demands_sent_total", KindCounter, UnitCount, "Reports of demand to agents.")
	CallersSentOn      = describe("callers_sent_on_total", KindCounter, UnitCount, "Answers that told a caller to connect again, because more entries take connections than when it connected.")
	EntriesNear        = describe("entries_near", KindGauge, UnitCount, "Entries in rotation in the data centre of the entry, with itself, as last seen.")
	EntryDataCentres   = describe("entry_data_centres", KindGauge, UnitCount, "Data centres with an entry in rotation, as last seen.")
	RotationAge        = describe("rotation_age_seconds", KindGauge, UnitSeconds, "Age of the view of the entries in rotation; -0.001 before the first one.")
	WorkersKnown       = describe("workers_known", KindGauge, UnitCount, "Agents with a link to this entry.")
	AcceptanceTime     = describe("acceptance_seconds", KindHistogram, UnitSeconds, "Time from the receipt of a submission to its acceptance by control.")
	ResponseTime       = describe("response_seconds", KindHistogram, UnitSeconds, "Time from the receipt of a submission to its answer.")
)

// The metrics of agents.
var (
	TasksStarted          = describe("tasks_started_total", KindCounter, UnitCount, "Tasks that the agent gave to its backend server.")
	TasksFinished         = describe("tasks_finished_total", KindCounter, UnitCount, "Tasks that came back from the backend server.")
	AnnouncementsRejected = describe("announcements_rejected_total", KindCounter, UnitCount, "Announcements that were invalid or that the worker denied, by reason.")
	StartsRefused         = describe("starts_refused_total", KindCounter, UnitCount, "Tasks that the agent answered with NotRun.")
	ResultsUndelivered    = describe("results_undelivered_total", KindCounter, UnitCount, "Results whose entry had no link when they came.")
	WorkerCrashes         = describe("worker_crashes_total", KindCounter, UnitCount, "Times that the worker ended without a notice.")
	RunsUnlisted          = describe("runs_unlisted_total", KindCounter, UnitCount, "Runs that the worker no longer listed and whose end it did not tell.")
	ListsOutdated         = describe("lists_outdated_total", KindCounter, UnitCount, "Times that a list of the worker lacked a run that it had shown after the list was asked for.")
	RulesReads            = describe("rules_reads_total", KindCounter, UnitCount, "Calls that asked control for the rules because no entry renewed the lease.")
	SlotsBusy             = describe("slots_busy", KindGauge, UnitCount, "Slots with a running task.")
	SlotsTotal            = describe("slots", KindGauge, UnitCount, "Slots that the backend server announced.")
	BackendPresent        = describe("backend_present", KindGauge, UnitBool, "Whether the backend server has announced itself and is not leaving.")
	RunTime               = describe("run_seconds", KindHistogram, UnitSeconds, "Time that the backend server took for a task.")
)

// The metrics of control members.
var (
	ControlLeader          = describe("control_leader", KindGauge, UnitBool, "Whether the member leads.")
	ControlTerm            = describe("control_term", KindGauge, UnitCount, "Term of the replicated log.")
	ControlApplied         = describe("control_applied_index", KindGauge, UnitCount, "Index of the last applied entry of the replicated log.")
	ControlSyncTime        = describe("control_sync_seconds", KindHistogram, UnitSeconds, "Time of a synced write.")
	ControlDiskFull        = describe("control_disk_full", KindGauge, UnitBool, "Whether the member finds no room on its disk.")
	ControlDisk            = describe("control_disk_bytes", KindGauge, UnitBytes, "Size of the log segments and snapshots.")
	ControlVoters          = describe("control_voters", KindGauge, UnitCount, "Voters of the replicated log; 0 on members that do not lead.")
	ControlAnsweringVoters = describe("control_answering_voters", KindGauge, UnitCount, "Voters that have answered the leader lately, with itself; 0 on members that do not lead.")
)
