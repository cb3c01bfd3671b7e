// Package conf holds the traffic configuration: which requests go to which services, through which stages, and who may
// send them. It is the configuration of entry nodes that forward requests unchanged; pipelines of the administration
// interface are described by package fleet.
//
// Usage:
//
//	cfg, err := conf.Decode(body)          // JSON in the names of the field tags
//	if problems := cfg.Check(); len(problems) > 0 { return &conf.InvalidError{Problems: problems} }
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

// Kind says how often the work of a request may run.
type Kind string

// The kinds. A stream is a sequence of events; it is idempotent only if its route lets it resume.
const (
	Safe   Kind = "safe"   // any number of times
	Unsafe Kind = "unsafe" // once for each attempt of the caller
	Stream Kind = "stream"
)

// MS is a duration that is written as a number of milliseconds.
type MS float64

// Duration converts to the standard type.
func (m MS) Duration() time.Duration { return time.Duration(float64(m) * float64(time.Millisecond)) }

// Config is a whole configuration. Versions grow; the highest one is in force.
type Config struct {
	Version  uint64    `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Teams    []Team    `json:"teams,omitempty"` // none: requests need no key
	Limits   Limits    `json:"limits"`
}

// Route says what happens to the requests of a host whose path begins with Prefix.
type Route struct {
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Prefix    string   `json:"prefix"` // begins and ends with a slash
	Kind      Kind     `json:"kind"`
	Timeout   MS       `json:"timeout_ms"` // longest time until the final answer
	Target    MS       `json:"target_ms"`  // time until the answer, or the first event, that is on time
	Gap       MS       `json:"gap_ms"`     // longest pause between events that is on time
	Priority  int      `json:"priority"`   // 0 is the most urgent
	Split     []Weight `json:"split"`
	Attempts  int      `json:"attempts"` // upstreams that one request may be sent to
	Anonymous bool     `json:"anonymous"`
	Affinity  bool     `json:"affinity"` // prefer the upstream that has the prompt's prefix in its cache
	Resume    bool     `json:"resume"`   // streams may go on at another upstream after an event id
	Stages    []Stage  `json:"stages,omitempty"`
}

// Weight is the share of a service in a route's requests.
type Weight struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Stage is work that precedes the request itself.
type Stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"` // stages whose results it needs, by position
	ResultBytes   int64  `json:"bytes"` // approximate size of a result
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`        // connections that one upstream accepts from all nodes together
	Engine     *Engine `json:"engine,omitempty"` // set for model engines
	Pool       *Pool   `json:"pool,omitempty"`   // set for services that run stages
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots         int     `json:"slots"` // requests that run at the same time
	CacheTokens   int64   `json:"cache_tokens"`
	BytesPerToken int64   `json:"bytes_per_token"`
	LinkMbps      float64 `json:"link_mbps"`
	EventTokens   int     `json:"event_tokens"` // tokens in one event of a stream
}

// Pool describes the upstreams of a service that runs stages. All values are for one upstream.
type Pool struct {
	Slots     int     `json:"slots"` // calls that run at the same time
	Queue     int     `json:"queue"` // calls that may wait
	Batch     int     `json:"batch"` // pieces in one call
	CallTime  MS      `json:"call_ms"`
	ItemTime  MS      `json:"item_ms"` // approximate; it differs by stage
	ResultMemoryMB    float64 `json:"room_mb"` // memory for results, in 10^6 bytes
	HandleTTL MS      `json:"handle_ms"`
	LinkMbps  float64 `json:"link_mbps"`
}

// Team is a caller with its keys.
type Team struct {
	Name     string    `json:"name"`
	Keys     []KeyHash `json:"keys"`
	Priority *int      `json:"priority,omitempty"` // takes precedence over the route's
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int `json:"header_bytes"`
	BodyBytes   int `json:"body_bytes"`
	HeaderTime  MS  `json:"header_ms"`
	IdleTime    MS  `json:"idle_ms"`
}

// KeyHash is the SHA-256 of a key, so that keys do not stand in memory or logs.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText writes the hash in hexadecimal.
func (k KeyHash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(k[:])), nil }

// UnmarshalText reads a hash in hexadecimal.
func (k *KeyHash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return errors.New("a key is given as its SHA-256 in hexadecimal")
	}
	copy(k[:], raw)
	return nil
}

// Problem is a reason why a configuration cannot be used.
type Problem struct {
	Location   string `json:"place"`
	Message string `json:"message"`
}

// InvalidError holds all problems of a configuration.
type InvalidError struct{ Problems []Problem }

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Location + ": " + p.Message
	}
	return "invalid configuration: " + strings.Join(lines, "; ")
}

// DecodeJSON decodes one JSON value and refuses data after it.
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

// Decode reads a configuration in the project's own format.
func Decode(body []byte) (*Config, error) {
	var c Config
	if err := DecodeJSON(body, &c); err != nil {
		return nil, &InvalidError{[]Problem{{"configuration", err.Error()}}}
	}
	return &c, nil
}

// Validate returns all problems.
func (c *Config) Validate() []Problem {
	ch := &checker{services: map[string]*Service{}}
	for i := range c.Services {
		ch.service(&c.Services[i])
	}
	places := map[string]bool{}
	for i := range c.Routes {
		r := &c.Routes[i]
		ch.route(r)
		place := strings.ToLower(r.Host) + r.Prefix
		if places[place] {
			ch.add("route "+r.Name, "another route has the same host and prefix")
		}
		places[place] = true
	}
	keys := map[KeyHash]bool{}
	for _, t := range c.Teams {
		for _, k := range t.Keys {
			if keys[k] {
				ch.add("team "+t.Name, "a key is held twice")
			}
			keys[k] = true
		}
	}
	return ch.problems
}

type checker struct {
	services map[string]*Service
	problems []Problem
}

func (c *checker) add(place, message string) {
	c.problems = append(c.problems, Problem{place, message})
}

func (c *checker) service(s *Service) {
	place := "service " + s.Name
	if s.Name == "" || c.services[s.Name] != nil {
		c.add(place, "a name that no other service has is required")
	}
	c.services[s.Name] = s
	if p := s.Pool; p != nil && (p.Batch < 1 || p.Slots < 1) {
		c.add(place, "at least one slot and a batch of one are required")
	}
}

func (c *checker) route(r *Route) {
	place := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(place, "the prefix must begin and end with a slash")
	}
	if r.Kind != Safe && r.Kind != Unsafe && r.Kind != Stream {
		c.add(place, fmt.Sprintf("kind %q is not safe, unsafe or stream", r.Kind))
	}
	if r.Timeout <= 0 {
		c.add(place, "the timeout must be above 0")
	}
	total := 0.0
	for _, w := range r.Split {
		if w.Weight < 0 {
			c.add(place, "a weight is below 0")
		}
		total += w.Weight
		if c.services[w.Service] == nil {
			c.add(place, "service "+w.Service+" is not configured")
		}
	}
	if total <= 0 {
		c.add(place, "the weights add up to 0")
	}
	for i, s := range r.Stages {
		c.stage(fmt.Sprintf("%s stage %d", place, i), i, s)
	}
}

func (c *checker) stage(place string, position int, s Stage) {
	if service := c.services[s.Service]; service == nil || service.Pool == nil {
		c.add(place, "service "+s.Service+" does not run stages")
	}
	for _, a := range s.After {
		if a < 0 || a >= position {
			c.add(place, "a stage may only follow earlier ones")
		}
	}
}
