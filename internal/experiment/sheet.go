package experiment

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"currantladder.example/currantladder/internal/version/fleet"
)

// Sheet is a load sheet: a fleet, the load on it and the failures to inject. Its
// file format is INI; docs/EXPERIMENT.md lists the keys.
type Sheet struct {
	Name     string
	Run      RunSheet
	Engine   EngineSheet
	Models   []ModelSheet
	Kinds    []KindSheet
	Phases   []PhaseSheet
	Failures []FailureSheet
}

// RunSheet holds the size of the fleet and the delays between its parts.
type RunSheet struct {
	// Length is how long new requests arrive.
	Length time.Duration `ini:"length"`
	Seed   uint64        `ini:"seed"`
	Nodes  int           `ini:"nodes"`
	Hosts  int           `ini:"hosts"`
	// FabricDomains is the number of fabric domains, over which the hosts are
	// spread evenly. A group does not span two of them.
	FabricDomains int `ini:"fabric_domains"`
	// ReportDelay is the time until the nodes see a change at a host.
	// LapseDelay is the time until a failed host leaves the host list.
	ReportDelay time.Duration `ini:"report_delay"`
	LapseDelay  time.Duration `ini:"lapse_delay"`
	// DigestInterval is the time between two exchanges of load digests.
	DigestInterval time.Duration `ini:"digest_period"`
	// DigestDelay is the age of a load digest on its arrival. Above 0, each node gets
	// the sum over all others, as from its hub; otherwise nodes send each other their
	// own counts.
	DigestDelay time.Duration `ini:"digest_delay"`
	// LinkDelay is the one-way delay between node and host, CallerDelay the
	// one-way delay between caller and node.
	LinkDelay   time.Duration `ini:"link_delay"`
	CallerDelay time.Duration `ini:"caller_delay"`
	// RetryRatio and RetrySlack limit retries over all nodes together.
	RetryRatio float64 `ini:"retry_ratio"`
	RetrySlack float64 `ini:"retry_slack"`
	// Wave is the amplitude of a sine wave of the load, as a part of the mean load,
	// and WavePeriod its period; 0 stands for no wave.
	Wave       float64       `ini:"wave"`
	WavePeriod time.Duration `ini:"wave_period"`
}

// EngineSheet describes how the engine of a group runs requests.
type EngineSheet struct {
	Slots      int `ini:"slots"`
	QueueLimit int `ini:"queue"`
	// MemoryTokens is the size of the key-value cache.
	MemoryTokens int `ini:"memory_tokens"`
	StepsPerPass int `ini:"steps_per_pass"`
	// ChunkTokens limits the prompt tokens that are prefilled in one step.
	ChunkTokens        int           `ini:"chunk_tokens"`
	StepTime           time.Duration `ini:"step_time"`
	StepTimePerRequest time.Duration `ini:"step_time_per_request"`
	// StepTimePer1000ContextTokens is added to a step for each generating
	// request, per 1,000 tokens of its context.
	StepTimePer1000ContextTokens time.Duration `ini:"context_time_per_1000_tokens"`
	PrefillTokensPerSecond       float64       `ini:"read_tokens_per_second"`
	// PrefillTimePerMillionPairs is the prefill time for a million pairs of a
	// prompt token and an earlier one.
	PrefillTimePerMillionPairs time.Duration `ini:"pair_time_per_million"`
	// EnqueueDelay passes at an engine before it queues or refuses a request.
	EnqueueDelay        time.Duration `ini:"first_token_time"`
	FormTime            time.Duration `ini:"form_time"`
	StallTimeout        time.Duration `ini:"stall_time"`
	LoadStartsPerSecond float64       `ini:"load_starts_per_second"`
	ConcurrentLoads     int           `ini:"concurrent_loads"`
	// StagedModels is the number of models that a host keeps staged.
	StagedModels int `ini:"keeps"`
}

// ModelSheet describes a model.
type ModelSheet struct {
	Name          string `ini:"-"`
	HostsPerGroup int    `ini:"size"`
	// TimeFactor multiplies the duration of a pass.
	TimeFactor float64 `ini:"pace"`
	// WorkShare is the part of the fleet's work at the start, 0 to 1.
	WorkShare float64 `ini:"share"`
	// LoadTime is the time to load the weights from the weight store,
	// StagedLoadTime from the host.
	LoadTime       time.Duration `ini:"load_time"`
	StagedLoadTime time.Duration `ini:"staged_load_time"`
}

// KindSheet describes a kind of request. Prompt and answer sizes have a lognormal
// distribution with the given mean, capped at the given maximum.
type KindSheet struct {
	Name  string `ini:"-"`
	Model string `ini:"model"`
	Rank  int    `ini:"rank"`
	// RequestsPerSecond is the arrival rate over all callers.
	RequestsPerSecond float64 `ini:"rate"`
	MeanPromptTokens  float64 `ini:"prompt_tokens"`
	PromptSigma       float64 `ini:"prompt_spread"`
	MaxPromptTokens   float64 `ini:"prompt_max"`
	MeanAnswerTokens  float64 `ini:"answer_tokens"`
	AnswerSigma       float64 `ini:"answer_spread"`
	MaxAnswerTokens   float64 `ini:"answer_max"`
	// An answer is on time when its first event arrives within
	// FirstEventTarget and no gap between two events exceeds EventGapTarget; 0
	// sets no limit on gaps.
	FirstEventTarget time.Duration `ini:"target"`
	EventGapTarget   time.Duration `ini:"pause_target"`
	RequestTimeout   time.Duration `ini:"time_limit"`
	// SilenceTimeout is the time without an event after which a caller gives
	// up.
	SilenceTimeout time.Duration `ini:"patience"`
	// Worth is what a request of mean size earns when its answer is on time,
	// LateWorth what it earns when the answer is late.
	Worth     float64 `ini:"worth"`
	LateWorth float64 `ini:"late_worth"`
	// CallerRetries is how often a caller sends a refused or failed request
	// again. MaxAttempts is the largest number of endpoints that a node sends a
	// request to.
	CallerRetries int `ini:"returns"`
	MaxAttempts   int `ini:"max_attempts"`
}

// PhaseSheet changes the load and the behaviour of callers for a time.
type PhaseSheet struct {
	Name     string        `ini:"-"`
	Start    time.Duration `ini:"at"`
	Duration time.Duration `ini:"for"`
	// Kind is the kind of request that the phase changes; "" stands for all.
	Kind       string  `ini:"kind"`
	LoadFactor float64 `ini:"factor"`
	// ImmediateRetryShare is the share of callers that ignore the time to wait
	// in a refusal. EarlyLeaveShare is the share of callers that leave after half
	// of FirstEventTarget.
	ImmediateRetryShare float64 `ini:"at_once"`
	EarlyLeaveShare     float64 `ini:"leave"`
}

// Kinds of failure.
const (
	// FailureHostsLost stops hosts, for good where Duration is 0.
	FailureHostsLost = "hosts_lost"
	// FailureHostsAdded adds Count hosts without weights to one random fabric domain.
	FailureHostsAdded = "hosts_added"
	// FailureDomainLost stops all hosts of a fabric domain.
	FailureDomainLost = "domain_lost"
	// FailureHostsSilent makes Count hosts answer nothing for Duration and then go on.
	FailureHostsSilent = "hosts_silent"
	// FailureHostsSlow makes hosts slower by the factor Slowdown.
	FailureHostsSlow = "hosts_slow"
	// FailureOrdersLate leaves Share of the orders without an answer;
	// the hosts execute them seconds later.
	FailureOrdersLate = "orders_late"
	// FailureCrashingPart lets Share of the requests hold one of Count prompt parts
	// that crash each host that begins to answer.
	FailureCrashingPart = "crashing_part"
	// FailureHostsLimited makes Count hosts name a limit of PerSecond requests from all
	// nodes together.
	FailureHostsLimited = "hosts_limited"
	// FailureNodesKilled kills nodes, which breaks the connections of their callers.
	FailureNodesKilled = "nodes_killed"
)

var failureKinds = []string{FailureHostsLost, FailureHostsAdded, FailureDomainLost, FailureHostsSilent, FailureHostsSlow, FailureOrdersLate, FailureNodesKilled, FailureCrashingPart, FailureHostsLimited}

// FailureSheet describes a failure to inject.
type FailureSheet struct {
	Name     string        `ini:"-"`
	Kind     string        `ini:"kind"`
	Start    time.Duration `ini:"at"`
	Duration time.Duration `ini:"for"`
	// Interval is the time after which the failure is injected again; 0 stands for
	// once.
	Interval time.Duration `ini:"every"`
	// Count is the number of hosts or nodes that fail.
	Count    int     `ini:"count"`
	Slowdown float64 `ini:"factor"`
	Share    float64 `ini:"share"`
	// PerSecond is the limit that hosts name.
	PerSecond float64 `ini:"per_second"`
}

// ReadSheet reads and validates a load sheet. The error lists all invalid entries.
func ReadSheet(path string) (*Sheet, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, path)
	if err != nil {
		return nil, fmt.Errorf("read the load sheet: %w", err)
	}
	s := &Sheet{Name: path}
	var errs []error
	for _, section := range file.Sections() {
		if err := s.addSection(section); err != nil {
			errs = append(errs, fmt.Errorf("[%s]: %w", section.Name(), err))
		}
	}
	errs = append(errs, s.validate()...)
	if len(errs) > 0 {
		return nil, fmt.Errorf("load sheet %s: %w", path, errors.Join(errs...))
	}
	return s, nil
}

func (s *Sheet) addSection(section *ini.Section) error {
	title, name, _ := strings.Cut(section.Name(), " ")
	switch title {
	case ini.DefaultSection:
		if len(section.Keys()) > 0 {
			return errors.New("keys precede the first section; move them into a section")
		}
		return nil
	case "run":
		return mapStrict(section, &s.Run)
	case "engine":
		return mapStrict(section, &s.Engine)
	case "model":
		m := ModelSheet{Name: name, TimeFactor: 1}
		err := mapStrict(section, &m)
		s.Models = append(s.Models, m)
		return err
	case "kind":
		k := KindSheet{Name: name, MaxAttempts: 2}
		err := mapStrict(section, &k)
		s.Kinds = append(s.Kinds, k)
		return err
	case "phase":
		p := PhaseSheet{Name: name, LoadFactor: 1}
		err := mapStrict(section, &p)
		s.Phases = append(s.Phases, p)
		return err
	case "failure":
		f := FailureSheet{Name: name, Count: 1, Slowdown: 1, Share: 1}
		err := mapStrict(section, &f)
		s.Failures = append(s.Failures, f)
		return err
	}
	return errors.New("unknown section; use run, engine, model NAME, kind NAME, phase NAME or failure NAME")
}

// mapStrict decodes a section into a struct and rejects keys that the struct does
// not have.
func mapStrict(section *ini.Section, into any) error {
	if err := section.StrictMapTo(into); err != nil {
		return err
	}
	var knownKeys []string
	for t, i := reflect.TypeOf(into).Elem(), 0; i < t.NumField(); i++ {
		knownKeys = append(knownKeys, t.Field(i).Tag.Get("ini"))
	}
	for _, key := range section.KeyStrings() {
		if !slices.Contains(knownKeys, key) {
			return fmt.Errorf("unknown key %q; see docs/EXPERIMENT.md", key)
		}
	}
	return nil
}

// validate returns an error for each value with which the sheet cannot be simulated.
func (s *Sheet) validate() []error {
	var errs []error
	reject := func(invalid bool, format string, args ...any) {
		if invalid {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	r, e := s.Run, s.Engine
	reject(r.Length <= 0, "[run] length: give a duration above 0")
	reject(r.Nodes <= 0 || r.Hosts <= 0 || r.FabricDomains <= 0, "[run] nodes, hosts, fabric_domains: give numbers above 0")
	reject(r.Wave < 0 || r.Wave > 1 || r.Wave > 0 && r.WavePeriod <= 0, "[run] wave: 0 to 1; wave_period: a duration above 0 for a wave")
	reject(r.DigestInterval <= 0, "[run] digest_period: give a duration above 0")
	reject(e.Slots <= 0 || e.StepsPerPass <= 0 || e.ChunkTokens <= 0 || e.MemoryTokens <= 0, "[engine] slots, memory_tokens, steps_per_pass, chunk_tokens: give numbers above 0")
	reject(e.StepTime <= 0 || e.PrefillTokensPerSecond <= 0, "[engine] step_time, read_tokens_per_second: give values above 0")
	reject(len(s.Models) == 0, "give at least one [model NAME]")
	reject(len(s.Kinds) == 0, "give at least one [kind NAME]")
	models := map[string]bool{}
	for _, m := range s.Models {
		models[m.Name] = true
		reject(m.HostsPerGroup <= 0 || m.TimeFactor <= 0, "[model %s] size, pace: give numbers above 0", m.Name)
	}
	kinds := map[string]bool{"": true}
	for _, k := range s.Kinds {
		kinds[k.Name] = true
		reject(!models[k.Model], "[kind %s] model: %q is no model of the sheet", k.Name, k.Model)
		reject(k.RequestsPerSecond <= 0 || k.MeanPromptTokens <= 0 || k.MeanAnswerTokens <= 0, "[kind %s] rate, prompt_tokens, answer_tokens: give numbers above 0", k.Name)
		reject(k.FirstEventTarget <= 0 || k.RequestTimeout <= 0 || k.SilenceTimeout <= 0, "[kind %s] target, time_limit, patience: give durations above 0", k.Name)
	}
	for _, p := range s.Phases {
		reject(!kinds[p.Kind], "[phase %s] kind: %q is no kind of the sheet", p.Name, p.Kind)
		reject(p.LoadFactor < 0 || p.ImmediateRetryShare < 0 || p.ImmediateRetryShare > 1 || p.EarlyLeaveShare < 0 || p.EarlyLeaveShare > 1, "[phase %s] factor: 0 or more; at_once, leave: 0 to 1", p.Name)
	}
	for _, f := range s.Failures {
		reject(!slices.Contains(failureKinds, f.Kind), "[failure %s] kind: use one of %s", f.Name, strings.Join(failureKinds, ", "))
		reject(f.Kind == FailureHostsSlow && f.Slowdown < 1, "[failure %s] factor: give 1 or more", f.Name)
		reject(f.Kind == FailureHostsSilent && f.Duration <= 0, "[failure %s] for: give a duration above 0", f.Name)
		reject(f.Kind == FailureCrashingPart && (f.Share <= 0 || f.Share > 1 || f.Count < 1 || f.Duration <= 0), "[failure %s] share: above 0 and at most 1; count: 1 or more; for: a duration above 0", f.Name)
		reject(f.Kind == FailureHostsLimited && (f.PerSecond <= 0 || f.Duration <= 0), "[failure %s] per_second: above 0; for: a duration above 0", f.Name)
	}
	return errs
}

// serviceName is the name of the simulated service.
const serviceName = "models"

// service returns the service that the nodes see, with the engine and models of
// the sheet.
func (s *Sheet) service() *fleet.Service {
	e := s.Engine
	engine := &fleet.Engine{
		Slots: e.Slots, MemoryTokens: e.MemoryTokens, StepsPerPass: e.StepsPerPass, ChunkTokens: e.ChunkTokens,
		StepTime: e.StepTime, StepTimePerRequest: e.StepTimePerRequest, PrefillTokensPerSecond: e.PrefillTokensPerSecond,
		LoadsPerSecond: e.LoadStartsPerSecond, ConcurrentLoads: e.ConcurrentLoads, KeepsStaged: e.StagedModels, FormTime: e.FormTime,
	}
	rate := 0.0
	for _, k := range s.Kinds {
		rate += k.RequestsPerSecond
		engine.MeanPromptTokens += k.RequestsPerSecond * k.MeanPromptTokens
		engine.MeanAnswerTokens += k.RequestsPerSecond * k.MeanAnswerTokens
	}
	engine.MeanPromptTokens /= rate
	engine.MeanAnswerTokens /= rate
	for _, m := range s.Models {
		engine.Models = append(engine.Models, fleet.Model{
			Name: m.Name, Size: m.HostsPerGroup, WorkShare: m.WorkShare, TimeFactor: m.TimeFactor, LoadTime: m.LoadTime, StagedLoadTime: m.StagedLoadTime,
		})
	}
	return &fleet.Service{Name: serviceName, Engine: engine}
}
