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

// Sheet is a load sheet: a fleet, its load and what goes wrong. The text form
// is INI; docs/EXPERIMENT.md lists the keys.
type Sheet struct {
	Name     string
	Run      RunSheet
	Engine   EngineSheet
	Models   []ModelSheet
	Kinds    []KindSheet
	Phases   []PhaseSheet
	Failures []FailureSheet
}

// RunSheet is the size of the fleet and the delays between its parts.
type RunSheet struct {
	// Length is the time in which requests arrive.
	Length time.Duration `ini:"length"`
	Seed   uint64        `ini:"seed"`
	Nodes  int           `ini:"nodes"`
	Hosts  int           `ini:"hosts"`
	// FabricDomains are the sets of hosts that a group does not span.
	FabricDomains int `ini:"fabric_domains"`
	// ReportDelay passes between a change at a host and its being known at the
	// nodes, LapseDelay until a silent host leaves the list.
	ReportDelay time.Duration `ini:"report_delay"`
	LapseDelay  time.Duration `ini:"lapse_delay"`
	// DigestPeriod is that of the exchange of loads between nodes.
	DigestPeriod time.Duration `ini:"digest_period"`
	// LinkDelay is one way between node and host, CallerDelay one way between
	// caller and node.
	LinkDelay   time.Duration `ini:"link_delay"`
	CallerDelay time.Duration `ini:"caller_delay"`
	// RetryRatio and RetrySlack bound second sends over all nodes.
	RetryRatio float64 `ini:"retry_ratio"`
	RetrySlack float64 `ini:"retry_slack"`
}

// EngineSheet describes how groups run requests.
type EngineSheet struct {
	Slots              int           `ini:"slots"`
	Queue              int           `ini:"queue"`
	MemoryTokens       int           `ini:"memory_tokens"`
	StepsPerPass       int           `ini:"steps_per_pass"`
	ChunkTokens        int           `ini:"chunk_tokens"`
	StepTime           time.Duration `ini:"step_time"`
	StepTimePerRequest time.Duration `ini:"step_time_per_request"`
	// ContextTime is added to a step for each 1,000 tokens of context.
	ContextTime         time.Duration `ini:"context_time_per_1000_tokens"`
	ReadTokensPerSecond float64       `ini:"read_tokens_per_second"`
	// PairTime is the reading time for a million pairs of a prompt token and
	// one before it.
	PairTime time.Duration `ini:"pair_time_per_million"`
	// FirstTokenTime passes at an engine before it looks at a request.
	FirstTokenTime      time.Duration `ini:"first_token_time"`
	FormTime            time.Duration `ini:"form_time"`
	StallTime           time.Duration `ini:"stall_time"`
	LoadStartsPerSecond float64       `ini:"load_starts_per_second"`
	ConcurrentLoads     int           `ini:"concurrent_loads"`
}

// ModelSheet is one model.
type ModelSheet struct {
	Name           string        `ini:"-"`
	Size           int           `ini:"size"`
	Pace           float64       `ini:"pace"`
	Share          float64       `ini:"share"`
	LoadTime       time.Duration `ini:"load_time"`
	StagedLoadTime time.Duration `ini:"staged_load_time"`
}

// KindSheet is one kind of request. Sizes are lognormal, cut at their maximum.
type KindSheet struct {
	Name  string `ini:"-"`
	Model string `ini:"model"`
	Rank  int    `ini:"rank"`
	// Rate is requests a second over all callers.
	Rate         float64 `ini:"rate"`
	PromptTokens float64 `ini:"prompt_tokens"`
	PromptSpread float64 `ini:"prompt_spread"`
	PromptMax    float64 `ini:"prompt_max"`
	AnswerTokens float64 `ini:"answer_tokens"`
	AnswerSpread float64 `ini:"answer_spread"`
	AnswerMax    float64 `ini:"answer_max"`
	// Target bounds the time to the first event, PauseTarget that between two.
	Target      time.Duration `ini:"target"`
	PauseTarget time.Duration `ini:"pause_target"`
	TimeLimit   time.Duration `ini:"time_limit"`
	// Patience is the silence after which a caller gives up.
	Patience  time.Duration `ini:"patience"`
	Worth     float64       `ini:"worth"`
	LateWorth float64       `ini:"late_worth"`
	// Returns is how often a refused caller comes back, MaxAttempts the number
	// of endpoints that one request is sent to.
	Returns     int `ini:"returns"`
	MaxAttempts int `ini:"max_attempts"`
}

// PhaseSheet changes the load for a time.
type PhaseSheet struct {
	Name string        `ini:"-"`
	At   time.Duration `ini:"at"`
	For  time.Duration `ini:"for"`
	// Kind is "" for all kinds.
	Kind   string  `ini:"kind"`
	Factor float64 `ini:"factor"`
	// AtOnce is the share of callers that return at once, Leave the share that
	// leaves within half of its target.
	AtOnce float64 `ini:"at_once"`
	Leave  float64 `ini:"leave"`
}

// What a failure does.
const (
	// FailureLost stops hosts, for good where For is 0.
	FailureLost = "hosts_lost"
	// FailureDomain stops the hosts of a fabric domain.
	FailureDomain = "domain_lost"
	// FailureSlow makes hosts Factor times slower.
	FailureSlow = "hosts_slow"
	// FailureOrders leaves the Share of orders without an answer and carries
	// them out seconds later.
	FailureOrders = "orders_late"
	// FailureNodes kills nodes; their callers' connections break.
	FailureNodes = "nodes_killed"
)

var failureKinds = []string{FailureLost, FailureDomain, FailureSlow, FailureOrders, FailureNodes}

// FailureSheet is one failure.
type FailureSheet struct {
	Name   string        `ini:"-"`
	Kind   string        `ini:"kind"`
	At     time.Duration `ini:"at"`
	For    time.Duration `ini:"for"`
	Count  int           `ini:"count"`
	Factor float64       `ini:"factor"`
	Share  float64       `ini:"share"`
}

// ReadSheet reads and checks a load sheet. All faults are reported together.
func ReadSheet(path string) (*Sheet, error) {
	file, err := ini.LoadSources(ini.LoadOptions{AllowNonUniqueSections: false}, path)
	if err != nil {
		return nil, fmt.Errorf("read the load sheet: %w", err)
	}
	s := &Sheet{Name: path}
	var faults []error
	for _, section := range file.Sections() {
		if err := s.add(section); err != nil {
			faults = append(faults, fmt.Errorf("[%s]: %w", section.Name(), err))
		}
	}
	faults = append(faults, s.check()...)
	if len(faults) > 0 {
		return nil, fmt.Errorf("load sheet %s: %w", path, errors.Join(faults...))
	}
	return s, nil
}

func (s *Sheet) add(section *ini.Section) error {
	title, name, _ := strings.Cut(section.Name(), " ")
	switch title {
	case ini.DefaultSection:
		if len(section.Keys()) > 0 {
			return errors.New("keys stand before the first section; move them into one")
		}
		return nil
	case "run":
		return strict(section, &s.Run)
	case "engine":
		return strict(section, &s.Engine)
	case "model":
		m := ModelSheet{Name: name, Pace: 1}
		err := strict(section, &m)
		s.Models = append(s.Models, m)
		return err
	case "kind":
		k := KindSheet{Name: name, MaxAttempts: 2}
		err := strict(section, &k)
		s.Kinds = append(s.Kinds, k)
		return err
	case "phase":
		p := PhaseSheet{Name: name, Factor: 1}
		err := strict(section, &p)
		s.Phases = append(s.Phases, p)
		return err
	case "failure":
		f := FailureSheet{Name: name, Count: 1, Factor: 1, Share: 1}
		err := strict(section, &f)
		s.Failures = append(s.Failures, f)
		return err
	}
	return errors.New("unknown section; use run, engine, model NAME, kind NAME, phase NAME or failure NAME")
}

// strict maps a section and refuses keys that the type does not have.
func strict(section *ini.Section, into any) error {
	if err := section.StrictMapTo(into); err != nil {
		return err
	}
	var known []string
	for t, i := reflect.TypeOf(into).Elem(), 0; i < t.NumField(); i++ {
		known = append(known, t.Field(i).Tag.Get("ini"))
	}
	for _, key := range section.KeyStrings() {
		if !slices.Contains(known, key) {
			return fmt.Errorf("unknown key %q; see docs/EXPERIMENT.md", key)
		}
	}
	return nil
}

// check returns the faults that a play would stumble over.
func (s *Sheet) check() []error {
	var faults []error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	r, e := s.Run, s.Engine
	fault(r.Length <= 0, "[run] length: give a duration above 0")
	fault(r.Nodes <= 0 || r.Hosts <= 0 || r.FabricDomains <= 0, "[run] nodes, hosts, fabric_domains: give numbers above 0")
	fault(r.DigestPeriod <= 0, "[run] digest_period: give a duration above 0")
	fault(e.Slots <= 0 || e.StepsPerPass <= 0 || e.ChunkTokens <= 0 || e.MemoryTokens <= 0, "[engine] slots, memory_tokens, steps_per_pass, chunk_tokens: give numbers above 0")
	fault(e.StepTime <= 0 || e.ReadTokensPerSecond <= 0, "[engine] step_time, read_tokens_per_second: give values above 0")
	fault(len(s.Models) == 0, "give at least one [model NAME]")
	fault(len(s.Kinds) == 0, "give at least one [kind NAME]")
	names := map[string]bool{}
	for _, m := range s.Models {
		names[m.Name] = true
		fault(m.Size <= 0 || m.Pace <= 0, "[model %s] size, pace: give numbers above 0", m.Name)
	}
	kinds := map[string]bool{"": true}
	for _, k := range s.Kinds {
		kinds[k.Name] = true
		fault(!names[k.Model], "[kind %s] model: %q is no model of the sheet", k.Name, k.Model)
		fault(k.Rate <= 0 || k.PromptTokens <= 0 || k.AnswerTokens <= 0, "[kind %s] rate, prompt_tokens, answer_tokens: give numbers above 0", k.Name)
		fault(k.Target <= 0 || k.TimeLimit <= 0 || k.Patience <= 0, "[kind %s] target, time_limit, patience: give durations above 0", k.Name)
	}
	for _, p := range s.Phases {
		fault(!kinds[p.Kind], "[phase %s] kind: %q is no kind of the sheet", p.Name, p.Kind)
		fault(p.Factor < 0 || p.AtOnce < 0 || p.AtOnce > 1 || p.Leave < 0 || p.Leave > 1, "[phase %s] factor: 0 or more; at_once, leave: 0 to 1", p.Name)
	}
	for _, f := range s.Failures {
		fault(!slices.Contains(failureKinds, f.Kind), "[failure %s] kind: use one of %s", f.Name, strings.Join(failureKinds, ", "))
		fault(f.Kind == FailureSlow && f.Factor < 1, "[failure %s] factor: give 1 or more", f.Name)
	}
	return faults
}

// serviceName is the name of the modelled service.
const serviceName = "models"

// service returns the sheet's engine in the terms of the nodes' view.
func (s *Sheet) service() *fleet.Service {
	e := s.Engine
	engine := &fleet.Engine{
		Slots: e.Slots, MemoryTokens: e.MemoryTokens, StepsPerPass: e.StepsPerPass, ChunkTokens: e.ChunkTokens,
		StepTime: e.StepTime, StepTimePerRequest: e.StepTimePerRequest, ReadTokensPerSecond: e.ReadTokensPerSecond,
		LoadsPerSecond: e.LoadStartsPerSecond, ConcurrentLoads: e.ConcurrentLoads, FormTime: e.FormTime,
	}
	rate := 0.0
	for _, k := range s.Kinds {
		rate += k.Rate
		engine.UsualPromptTokens += k.Rate * k.PromptTokens
		engine.UsualAnswerTokens += k.Rate * k.AnswerTokens
	}
	engine.UsualPromptTokens /= rate
	engine.UsualAnswerTokens /= rate
	for _, m := range s.Models {
		engine.Models = append(engine.Models, fleet.Model{
			Name: m.Name, Size: m.Size, WorkShare: m.Share, Pace: m.Pace, LoadTime: m.LoadTime, StagedLoadTime: m.StagedLoadTime,
		})
	}
	return &fleet.Service{Name: serviceName, Engine: engine}
}
