// Package stats publishes the metrics of a process through tally and its reporter for Prometheus.
//
// The catalogue of a Page is the only place where names, labels and texts are given. Events are counted as they happen; states are
// sampled once a second.
//
// Usage:
//
//	p, err := stats.New(stats.Options{Clock: c, Metrics: catalogue, Sample: func(p *stats.Page) { p.Set("in_flight", 3, nil) }})
//	p.Add("answers_total", 1, stats.Tags{"status": "200"})
//	p.Observe("answer_seconds", 30*time.Millisecond, nil)
//	route := rest.Route{Method: http.MethodGet, Path: stats.Path, Handler: p.Handler().ServeHTTP}
//	p.Close()
package stats

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"

	"github.com/berylledge/berylledge/internal/base/clock"
)

// Path is where the metrics are.
const Path = "/metrics"

// Prefix is in front of each name.
const Prefix = "berylledge_"

// Type is the type of a metric.
type Type string

// The types of metrics.
const (
	Counter   Type = "counter"
	Gauge     Type = "gauge"
	Histogram Type = "histogram"
)

// Metric describes one metric.
type Metric struct {
	Name   string // without Prefix
	Type   Type
	Labels []string
	Help   string
}

// Tags are the values of the labels of a metric.
type Tags = map[string]string

// Options configure a Page.
type Options struct {
	Clock   clock.Clock
	Metrics []Metric
	Sample  func(*Page) // brings states up to date; called from the goroutine of the page
}

// Page holds the metrics of a process. Its methods may be called from any goroutine, but for Raise.
type Page struct {
	reporter reporter.Reporter
	scope    tally.Scope
	closer   io.Closer
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	totals   map[string]int64 // last sampled totals by metric and tags; owned by the goroutine
}

// sampleEvery is how often values are brought up to date.
const sampleEvery = time.Second

// New starts a page. It fails if the catalogue names a metric twice.
func New(o Options) (*Page, error) {
	registry := prometheus.NewRegistry()
	var failed error
	p := &Page{totals: map[string]int64{}, reporter: reporter.NewReporter(reporter.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(err error) { failed = err },
	})}
	for _, m := range o.Metrics {
		if err := p.register(m); err != nil {
			return nil, errors.Wrap(err, m.Name)
		}
	}
	if failed != nil {
		return nil, failed
	}
	p.scope, p.closer = tally.NewRootScope(tally.ScopeOptions{
		CachedReporter: p.reporter, SanitizeOptions: &sanitize, OmitCardinalityMetrics: true,
	}, sampleEvery)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() {
		o.Sample(p)
		for clock.Sleep(ctx, o.Clock, sampleEvery) == nil {
			o.Sample(p)
		}
	})
	return p, nil
}

// sanitize keeps the characters that names in a configuration may have.
var sanitize = tally.SanitizeOptions{
	NameCharacters: tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	KeyCharacters:  tally.ValidCharacters{Ranges: tally.AlphanumericRange, Characters: tally.UnderscoreCharacters},
	ValueCharacters: tally.ValidCharacters{
		Ranges: tally.AlphanumericRange, Characters: []rune{'_', '-', '.', ':', '@'},
	},
	ReplacementCharacter: tally.DefaultReplacementCharacter,
}

// timeBuckets resolve the targets of the design: 27 ms between tokens, 1.3 s to the first, deadlines of 8 s.
var timeBuckets = tally.DurationBuckets{
	5 * time.Millisecond, 10 * time.Millisecond, 27 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	250 * time.Millisecond, 500 * time.Millisecond, time.Second, 1300 * time.Millisecond, 2 * time.Second, 4 * time.Second,
	8 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute, 15 * time.Minute, time.Hour,
}

func (p *Page) register(m Metric) error {
	var err error
	switch m.Type {
	case Counter:
		_, err = p.reporter.RegisterCounter(Prefix+m.Name, m.Labels, m.Help)
	case Gauge:
		_, err = p.reporter.RegisterGauge(Prefix+m.Name, m.Labels, m.Help)
	case Histogram:
		_, err = p.reporter.RegisterTimer(Prefix+m.Name, m.Labels, m.Help, &reporter.RegisterTimerOptions{
			TimerType: reporter.HistogramTimerType, HistogramBuckets: timeBuckets.AsValues(),
		})
	}
	return err
}

// Close stops the page.
func (p *Page) Close() {
	p.cancel()
	p.wg.Wait()
	_ = p.closer.Close() // the reporter has nothing to flush
}

// Handler answers in the text format of Prometheus.
func (p *Page) Handler() http.Handler { return p.reporter.HTTPHandler() }

func (p *Page) tagged(tags Tags) tally.Scope {
	if len(tags) == 0 {
		return p.scope
	}
	return p.scope.Tagged(tags)
}

// Add raises a counter.
func (p *Page) Add(name string, v int64, tags Tags) { p.tagged(tags).Counter(Prefix + name).Inc(v) }

// Set sets a gauge.
func (p *Page) Set(name string, v float64, tags Tags) { p.tagged(tags).Gauge(Prefix + name).Update(v) }

// Observe adds a value to a histogram.
func (p *Page) Observe(name string, d time.Duration, tags Tags) {
	p.tagged(tags).Histogram(Prefix+name, timeBuckets).RecordDuration(d)
}

// Raise brings a counter up to a total. A total below the last one has started anew. It may be called by Options.Sample only.
func (p *Page) Raise(name string, total int64, tags Tags) {
	key := name
	for _, label := range slices.Sorted(maps.Keys(tags)) {
		key += "\x00" + tags[label]
	}
	last := p.totals[key]
	if total < last {
		last = 0
	}
	p.Add(name, total-last, tags)
	p.totals[key] = total
}

// Table renders a catalogue as a table in Markdown.
func Table(metrics []Metric) string {
	var b strings.Builder
	b.WriteString("| name | type | labels | meaning |\n|---|---|---|---|\n")
	for _, m := range metrics {
		fmt.Fprintf(&b, "| `%s%s` | %s | %s | %s |\n", Prefix, m.Name, m.Type, strings.Join(m.Labels, ", "), m.Help)
	}
	return b.String()
}
