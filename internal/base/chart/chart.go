// Package chart loads state charts from JSON files and interprets them.
//
// A chart lists states, events, guards and actions. The code that uses a chart registers the guards and actions it
// knows; a chart that names another one, or a state that does not exist, is refused when it is loaded.
//
// Usage:
//
//	//go:embed request.json
//	var file []byte
//	c, err := chart.Load(file, chart.Known{Guards: []string{"idempotent"}, Actions: []string{"answer"}})
//	next, ok := c.Next("running", "stage_failed", func(guard string) bool { return idempotent })
//	// next.To, next.Actions
package chart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// State is a state of a chart.
type State struct {
	Name  string `json:"name"`
	Final bool   `json:"final,omitempty"`
	Doc   string `json:"doc,omitempty"`
}

// Transition is an edge of a chart. The first transition in the file whose guard holds is taken.
type Transition struct {
	From    string   `json:"from"`
	Event   string   `json:"event"`
	Guard   string   `json:"guard,omitempty"` // "!name" negates
	To      string   `json:"to"`
	Actions []string `json:"actions,omitempty"`
}

// Chart is a loaded state chart.
type Chart struct {
	Name        string       `json:"name"`
	Initial     string       `json:"initial"`
	States      []State      `json:"states"`
	Transitions []Transition `json:"transitions"`
}

// Known lists what the code can evaluate and carry out.
type Known struct {
	Guards  []string
	Actions []string
}

// FileError says what is wrong in a chart file.
type FileError struct {
	Chart string
	Place string
	Name  string
}

func (e *FileError) Error() string {
	return fmt.Sprintf("chart %s: %s: unknown or invalid name %q", e.Chart, e.Place, e.Name)
}

// Load decodes and checks a chart.
func Load(file []byte, known Known) (*Chart, error) {
	d := json.NewDecoder(bytes.NewReader(file))
	d.DisallowUnknownFields()
	var c Chart
	if err := d.Decode(&c); err != nil {
		return nil, fmt.Errorf("chart: %w", err)
	}
	return &c, c.check(known)
}

func (c *Chart) check(known Known) error {
	if !c.has(c.Initial) {
		return &FileError{c.Name, "initial", c.Initial}
	}
	reached := map[string]bool{c.Initial: true}
	for i, t := range c.Transitions {
		place := fmt.Sprintf("transition %d", i+1)
		if !c.has(t.From) || c.Final(t.From) {
			return &FileError{c.Name, place + " from", t.From}
		}
		if !c.has(t.To) {
			return &FileError{c.Name, place + " to", t.To}
		}
		if g := strings.TrimPrefix(t.Guard, "!"); g != "" && !slices.Contains(known.Guards, g) {
			return &FileError{c.Name, place + " guard", t.Guard}
		}
		for _, a := range t.Actions {
			if !slices.Contains(known.Actions, a) {
				return &FileError{c.Name, place + " action", a}
			}
		}
		reached[t.To] = true
	}
	for _, s := range c.States {
		if !reached[s.Name] {
			return &FileError{c.Name, "unreachable state", s.Name}
		}
	}
	return nil
}

func (c *Chart) has(name string) bool {
	return slices.ContainsFunc(c.States, func(s State) bool { return s.Name == name })
}

// Final reports whether no transition leaves the state.
func (c *Chart) Final(name string) bool {
	return slices.ContainsFunc(c.States, func(s State) bool { return s.Name == name && s.Final })
}

// Next returns the transition that the event takes from a state; false if the state does not handle the event.
func (c *Chart) Next(state, event string, guard func(name string) bool) (Transition, bool) {
	for _, t := range c.Transitions {
		if t.From == state && t.Event == event && holds(t.Guard, guard) {
			return t, true
		}
	}
	return Transition{}, false
}

func holds(guard string, eval func(string) bool) bool {
	if guard == "" {
		return true
	}
	if name, negated := strings.CutPrefix(guard, "!"); negated {
		return !eval(name)
	}
	return eval(guard)
}

// Mermaid draws the chart for the docs.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	fmt.Fprintf(&b, "stateDiagram-v2\n    [*] --> %s\n", c.Initial)
	for _, t := range c.Transitions {
		label := t.Event
		if t.Guard != "" {
			label += " [" + t.Guard + "]"
		}
		if len(t.Actions) > 0 {
			label += " / " + strings.Join(t.Actions, ", ")
		}
		fmt.Fprintf(&b, "    %s --> %s: %s\n", t.From, t.To, label)
	}
	for _, s := range c.States {
		if s.Final {
			fmt.Fprintf(&b, "    %s --> [*]\n", s.Name)
		}
	}
	return b.String()
}
