package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/wire/httpd"
)

// Options configure a Client.
type Options struct {
	// Seeds are addresses (IP number and port) of entry VMs that are asked which one to use. One that lives is enough.
	Seeds []string
	Team  string
	Clock clock.Clock // nil means the real clock
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	o     Options
	http  httpc.Service
	trans *http.Transport

	mu    sync.Mutex
	entry Entry
	until time.Time
	lost  map[string]time.Time // entry VMs that could not be reached, and until when they are avoided
}

// Event is one event of an answer. Try counts from 1; a higher one means that the answer begins anew, because the entry
// VM that ran the request was lost.
type Event struct {
	Try  int
	ID   int
	Name string
	Data []byte
}

// LostError says that the answer is not whole because no entry VM could be reached any more. Ran says what is known.
type LostError struct {
	RequestID string
	Ran       Ran
	Cause     error
}

func (e *LostError) Error() string {
	return "request " + e.RequestID + " (" + string(e.Ran) + "): connection lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// New returns a client.
func New(o Options) *Client {
	if o.Clock == nil {
		o.Clock = clock.Real()
	}
	c := &Client{o: o, lost: map[string]time.Time{}}
	c.http, c.trans = httpd.NewClient("caller", 64, nil)
	return c
}

// Close ends idle connections.
func (c *Client) Close() { c.trans.CloseIdleConnections() }

// Times of the client.
const (
	avoidLost   = 10 * time.Second // an entry VM that could not be reached is not used again for so long
	resumePause = 50 * time.Millisecond
	maxResumes  = 5 // without a new event
)

// Entry returns the address of the entry VM to use, from memory while the last answer is valid.
func (c *Client) Entry(ctx context.Context) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.o.Clock.Now()
	if now.Before(c.until) && !now.Before(c.lost[c.entry.Address]) {
		return c.entry.Address, nil
	}
	last := errors.New("no seed is given")
	var named *Entry // by a VM that stops
	for _, seed := range c.o.Seeds {
		if now.Before(c.lost[seed]) {
			continue
		}
		var e Entry
		if e, last = c.ask(ctx, seed); last != nil {
			c.lost[seed] = now.Add(avoidLost)
			continue
		}
		if now.Before(c.lost[e.Address]) {
			if e.Stopping {
				named = &e
				continue
			}
			e = Entry{Address: seed} // the asked node has not noticed yet; use the node itself
		}
		return c.use(now, e), nil
	}
	if named != nil { // it may be back
		return c.use(now, *named), nil
	}
	clear(c.lost) // all are avoided: try them all next time
	return "", errors.Wrap(last, "no entry VM answers")
}

// use keeps an answer while it is valid. The lock is held.
func (c *Client) use(now time.Time, e Entry) string {
	c.entry, c.until = e, now.Add(time.Duration(e.ValidMS)*time.Millisecond)
	delete(c.lost, e.Address)
	return e.Address
}

func (c *Client) ask(ctx context.Context, seed string) (e Entry, err error) {
	resp, err := c.send(ctx, http.MethodGet, seed, PathEntry, nil, nil)
	if err != nil {
		return e, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return e, errors.Newf("status %d", resp.StatusCode)
	}
	return e, json.NewDecoder(resp.Body).Decode(&e)
}

func (c *Client) send(ctx context.Context, method, address, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderTeam, c.o.Team)
	req.Header.Set("Content-Type", "application/json")
	return c.http.DoRequest(req)
}

func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[address] = c.o.Clock.Now().Add(avoidLost)
}

// Do sends a request and returns the whole answer. onEvent, if not nil, receives each event as it comes. The error is a
// *Refusal if the system refused or failed the request, a *LostError if contact was lost, or the error of ctx.
//
// A broken stream is resumed. When the entry VM is lost, the request is sent again through another one under the same
// idempotency key, so work that may not repeat does not repeat.
func (c *Client) Do(ctx context.Context, s Submit, onEvent func(Event)) (*Answer, error) {
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	for try := 1; ; try++ {
		a, err := c.try(ctx, s, try, onEvent)
		var lost *LostError
		if err == nil || ctx.Err() != nil || !errors.As(err, &lost) || try > len(c.o.Seeds) {
			return a, err
		}
	}
}

func (c *Client) try(ctx context.Context, s Submit, number int, onEvent func(Event)) (*Answer, error) {
	address, err := c.Entry(ctx)
	if err != nil {
		return nil, &LostError{s.ID, NotRun, err}
	}
	t := &try{client: c, address: address, number: number, onEvent: onEvent, answer: Answer{RequestID: s.ID}}
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	err = t.read(c.send(ctx, http.MethodPost, address, PathRequests, body, t.header()))
	for resumes := 0; t.broken(err) && !elsewhere(err) && ctx.Err() == nil && resumes < maxResumes; resumes++ {
		seen := t.last
		_ = clock.Sleep(ctx, c.o.Clock, resumePause<<resumes)
		err = t.read(c.send(ctx, http.MethodGet, address, PathRequests+"/"+url.PathEscape(s.ID), nil, t.header()))
		if t.last > seen {
			resumes = -1
		}
	}
	if !t.broken(err) {
		return t.result(err)
	}
	c.avoid(address)
	return nil, &LostError{s.ID, RanUnknown, err}
}

// elsewhere reports whether the node itself said that it cannot go on, so that a resume there makes no sense.
func elsewhere(err error) bool {
	var r *Refusal
	return errors.As(err, &r)
}

// try is one sending of a request to one entry VM.
type try struct {
	client  *Client
	address string
	number  int
	onEvent func(Event)
	last    int // id of the last event
	text    strings.Builder
	answer  Answer
	ended   bool
}

func (t *try) header() http.Header {
	h := http.Header{"Accept": {"text/event-stream"}}
	if t.last > 0 {
		h.Set("Last-Event-Id", strconv.Itoa(t.last))
	}
	return h
}

// broken reports whether another node has to be asked: contact was lost before the end, or the process at this address was
// replaced and does not know the request or the fleet, or it stops.
func (t *try) broken(err error) bool {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Code == CodeNotFound || r.Code == CodeDraining || r.Code == CodeNoConfig
	}
	return err != nil || !t.ended
}

func (t *try) result(err error) (*Answer, error) {
	if err != nil {
		return nil, err
	}
	t.answer.Output = t.text.String()
	if t.answer.End.Bytes != len(t.answer.Output) {
		return nil, errors.Newf("request %s: the answer has %d of %d bytes", t.answer.RequestID, len(t.answer.Output), t.answer.End.Bytes)
	}
	return &t.answer, nil
}

// read takes a response up to its end.
func (t *try) read(resp *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	var refused error
	err = httpd.ReadEvents(resp.Body, func(id, name, data string) bool {
		n, _ := strconv.Atoi(id)
		if t.ended {
			return true // reads on to the end of the stream, so that the node sees that the answer has arrived
		}
		if n != t.last+1 { // a repeated event, or a gap: resume after the last one
			return n <= t.last
		}
		t.last = n
		refused = t.event(name, []byte(data))
		return refused == nil
	})
	if refused != nil || t.ended {
		return refused
	}
	if err == nil && !t.ended {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (t *try) event(name string, data []byte) error {
	if t.onEvent != nil {
		t.onEvent(Event{Try: t.number, ID: t.last, Name: name, Data: data})
	}
	switch name {
	case EventToken:
		var token Token
		err := json.Unmarshal(data, &token)
		t.text.WriteString(token.Text)
		return err
	case EventStage:
		var s StageEvent
		err := json.Unmarshal(data, &s)
		t.answer.Stages = append(t.answer.Stages, s)
		return err
	case EventEnd:
		t.ended = true
		return json.Unmarshal(data, &t.answer.End)
	case EventError:
		var r Refusal
		if err := json.Unmarshal(data, &r); err != nil {
			return err
		}
		return &r
	default:
		return nil // a later version may send more kinds
	}
}

func refusalOf(resp *http.Response) error {
	r := Refusal{Status: resp.StatusCode}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&r); err != nil || r.Code == "" {
		return &Refusal{Status: resp.StatusCode, Code: CodeInternal, Ran: RanUnknown, Message: resp.Status}
	}
	return &r
}

// Cancel ends a request at the entry VM that the client uses.
func (c *Client) Cancel(ctx context.Context, id string) error {
	address, err := c.Entry(ctx)
	if err != nil {
		return err
	}
	resp, err := c.send(ctx, http.MethodDelete, address, PathRequests+"/"+url.PathEscape(id), nil, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp)
	}
	return nil
}
