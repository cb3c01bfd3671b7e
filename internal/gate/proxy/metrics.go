package proxy

import "time"

// MetricHooks is called when something ends, for metrics. Fields may be nil.
type MetricHooks struct {
	Answered func(status int, took time.Duration) // the final answer of a request for which an upstream was tried; 0: closed without a whole one
	Refused  func(status int)                     // an answer that this node gave instead of an upstream
	Retried func()                               // a request was sent again
}

func (m *MetricHooks) answered(status int, took time.Duration) {
	if m.Answered != nil {
		m.Answered(status, took)
	}
}

func (m *MetricHooks) refused(status int) {
	if m.Refused != nil {
		m.Refused(status)
	}
}

func (m *MetricHooks) repeated() {
	if m.Retried != nil {
		m.Retried()
	}
}
