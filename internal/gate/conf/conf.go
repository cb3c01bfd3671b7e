// Package conf holds the traffic configuration: which requests go to which services, through which stages, and
// who may send them. It configures entry nodes that forward requests unchanged. The pipelines of the
// administration interface are described by package fleet.
//
// Usage:
//
//	cfg, err := conf.Decode(body)          // JSON with the names in the field tags
//	if problems := cfg.Validate(); len(problems) > 0 { return &conf.InvalidError{Problems: problems} }
//	table := conf.NewTable(cfg)
//	route := table.Match("api.example:80", "/orders/7")
//	team, ok := table.Team("secret")
package conf

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind determines how often the work of a request may run.
type Kind string

// Kinds of routes. The response of a Stream is a sequence of events. It is idempotent only if its route allows
// it to resume.
const (
	Safe   Kind = "safe"   // any number of times
	Unsafe Kind = "unsafe" // once per attempt of the caller
	Stream Kind = "stream"
)

// MS is a duration in milliseconds, as encoded in JSON.
type MS float64

// Duration converts m to a time.Duration.
func (m MS) Duration() time.Duration { return time.Duration(float64(m) * float64(time.Millisecond)) }

// Config is a complete configuration. Versions increase, and the highest version applies.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams,omitempty"` // if empty, requests need no key
	// FairShares divides scarce room fairly between teams and data centres. It costs throughput: the work of callers that flood
	// is not waiting when their flood ends.
	FairShares bool   `json:"fair_shares,omitempty"`
	Limits     Limits `json:"limits"`
}

// Route describes how to handle requests to Host whose path starts with Prefix.
type Route struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"prefix"` // starts and ends with a slash
	Kind      Kind     `json:"kind"`
	Timeout   MS       `json:"timeout_ms"` // maximum time until the final response
	Target    MS       `json:"target_ms"`  // target latency of the response, or of the first event of a stream
	Gap       MS       `json:"gap_ms"`     // longest pause between events that is still on time
	Priority  int      `json:"priority"`   // 0 is the most urgent
	Split     []Weight `json:"split"`
	Attempts  int      `json:"attempts"` // maximum number of upstreams that one request is sent to
	Anonymous bool     `json:"anonymous"`
	Affinity  bool     `json:"affinity"` // prefer the upstream that has the prompt's prefix in its cache
	Resume    bool     `json:"resume"`   // a broken stream may resume at another upstream after the last event id
	Stages    []Stage  `json:"stages,omitempty"`
	Regions   []string `json:"regions,omitempty"` // regions that may serve the route; empty: all
}

// Weight is the share of a route's requests that a service receives.
type Weight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stage is work that runs before the request itself.
type Stage struct {
	Service     string `json:"service"`
	After       []int  `json:"after"` // indexes of the stages whose results it needs
	ResultBytes int64  `json:"bytes"` // approximate size of a result
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`        // connections that one upstream accepts from all nodes together
	Engine     *Engine `json:"engine,omitempty"` // set for model engines
	Pool       *Pool   `json:"pool,omitempty"`   // set for services that run stages
	// ColdTime is how long an upstream stays cold after its start, and ColdPerSecond how many requests a second it bears
	// meanwhile, from all nodes together; 0: no limit.
	ColdTime      MS      `json:"cold_ms,omitempty"`
	ColdPerSecond float64 `json:"cold_per_s,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int     `json:"slots"` // concurrent requests
	CacheTokens   int64   `json:"cache_tokens"`
	BytesPerToken int64   `json:"bytes_per_token"`
	LinkMbps      float64 `json:"link_mbps"`
	EventTokens   int     `json:"event_tokens"` // tokens in one event of a stream
}

// Pool describes the upstreams of a service that runs stages. All values are per upstream.
type Pool struct {
	Slots          int     `json:"slots"` // concurrent calls
	Queue          int     `json:"queue"` // calls that may be queued
	Batch          int     `json:"batch"` // maximum number of pieces in one call
	CallTime       MS      `json:"call_ms"`
	ItemTime       MS      `json:"item_ms"` // approximate; varies by stage
	ResultMemoryMB float64 `json:"room_mb"` // memory for results, in 10^6 bytes
	HandleTTL      MS      `json:"handle_ms"`
	LinkMbps       float64 `json:"link_mbps"`
}

// Team is a customer, identified by its keys.
type Team struct {
	Name     string    `json:"name"`
	Keys     []KeyHash `json:"keys"`
	Priority *int      `json:"priority,omitempty"` // overrides the priority of the route
	Regions  []string  `json:"regions,omitempty"`  // regions that may serve the team; empty: all
}

// Limits restricts the size and timing of callers' requests.
type Limits struct {
	HeaderBytes int `json:"header_bytes"`
	BodyBytes   int `json:"body_bytes"`
	HeaderTime  MS  `json:"header_ms"`
	IdleTime    MS  `json:"idle_ms"`
}

// KeyHash is the SHA-256 hash of a key. Keys themselves are kept out of memory and logs.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText encodes the hash in hexadecimal.
func (k KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(k[:])), nil }

// UnmarshalText decodes a hash from hexadecimal.
func (k *KeyHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return errors.New("a key must be given as its SHA-256 hash in hexadecimal")
	}
	copy(k[:], raw)
	return nil
}

// Problem describes why a configuration is invalid.
type Problem struct {
	Location string `json:"place"`
	Message  string `json:"message"`
}

// InvalidError lists all problems of a configuration.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Location + ": " + p.Message
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// DecodeJSON decodes a single JSON value. Data after it is an error.
func DecodeJSON(body []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the end of the JSON value")
	}
	return nil
}

// Decode decodes a configuration in the project's own format.
func Decode(body []byte) (*Config, error) {
	var c Config
	if err := DecodeJSON(body, &c); err != nil {
		return nil, &InvalidError{[]Problem{{"configuration", err.Error()}}}
	}
	return &c, nil
}

// Validate returns all problems of the configuration.
func (c *Config) Validate() []Problem {
	v := &validator{services: map[string]*Service{}}
	for i := range c.Services {
		v.service(&c.Services[i])
	}
	seen := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		v.route(r)
		hostPath := strings.ToLower(r.Host) + r.Prefix
		if seen[hostPath] {
			v.add("route "+r.Name, "another route has the same host and prefix")
		}
		seen[hostPath] = true
	}
	keys := map[KeyHash]bool{}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if keys[k] {
				v.add("team "+t.Name, "the same key is listed twice")
			}
			keys[k] = true
		}
	}
	return v.problems
}

type validator struct {
	services map[string]*Service
	problems []Problem
}

func (c *validator) add(location, message string) {
	c.problems = append(c.problems, Problem{location, message})
}

func (c *validator) service(s *Service) {
	location := "service " + s.Name
	if s.Name == "" || c.services[s.Name] != nil {
		c.add(location, "the name must be set and unique")
	}
	c.services[s.Name] = s
	if p := s.Pool; p != nil && (p.Batch < 1 || p.Slots < 1) {
		c.add(location, "slots and batch must be at least 1")
	}
}

func (c *validator) route(r *Route) {
	location := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(location, "the prefix must begin and end with a slash")
	}
	if r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream {
		c.add(location, fmt.Sprintf("kind %q is not safe, unsafe or stream", r.Kind))
	}
	if r.Timeout <= 0 {
		c.add(location, "the timeout must be above 0")
	}
	total := 0.0
	for _, w := range r.Split {
		if w.Weight < 0 {
			c.add(location, "a weight is negative")
		}
		total += w.Weight
		if c.services[w.Service] == nil {
			c.add(location, "service "+w.Service+" is not configured")
		}
	}
	if total <= 0 {
		c.add(location, "the weights sum to 0")
	}
	for i, s := range r.Stages {
		c.stage(fmt.Sprintf("%s stage %d", location, i), i, s)
	}
}

func (c *validator) stage(location string, position int, s Stage) {
	if service := c.services[s.Service]; service == nil || service.Pool == nil {
		c.add(location, "service "+s.Service+" does not run stages")
	}
	for _, a := range s.After {
		if a < 0 || a >= position {
			c.add(location, "a stage may only depend on earlier stages")
		}
	}
}
