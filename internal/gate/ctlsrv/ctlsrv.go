// Package ctlsrv implements a control node of a fleet that forwards requests. It accepts configurations from
// operators and heartbeats from upstreams, tells callers which entry nodes to use, and keeps entry nodes up to
// date.
//
// Usage:
//
//	s := ctlsrv.New(ctlsrv.Options{Dialect: proto.Own(), Member: member, Hub: hub, ...})
//	httpd.New(httpd.Options{Address: control}, s.ControlRoutes())
//	httpd.New(httpd.Options{Address: directory}, s.DirectoryRoutes())
//	reply, ok, err := s.Handle(ctx, kind, body) // from the peer hub
//	s.Close()
//
// # Replication between control nodes
//
// A control node sends the others the records that it receives itself: changes within shareInterval, and every
// syncInterval a Share, possibly empty, that renews all of its records (package roster). A node that misses a
// Share requests all records from its sender.
//
// # Acknowledgements
//
// A configuration is acknowledged once the control group has committed it, or a higher version. So is the departure of
// an upstream (leave.go), which must also be known to a majority of the group by then, and the order to evacuate a data
// centre (evacuation.go). Other heartbeats are acknowledged at once, unless this node has lost its group: then nobody else would learn
// what they say, and the upstream has to tell another node as well.
//
// Orders and departures by DELETE name no version and no run, so that they count only while their senders wait (sender.go).
package ctlsrv

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/base/clock"
	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/deny"
	"github.com/berylledge/berylledge/internal/gate/evac"
	"github.com/berylledge/berylledge/internal/gate/poller"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/gate/roster"
	"github.com/berylledge/berylledge/internal/state/quorum"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// Options configures a Server.
type Options struct {
	Dialect           *proto.Dialect
	Clock             clock.Clock
	Events            *event.Log
	Member            *quorum.Member
	Hub               *peer.Hub
	HeartbeatAddress  string // address that upstreams are told to send heartbeats to; if empty, they choose
	HeartbeatInterval time.Duration
	EntryValid        time.Duration     // how long callers may cache the list of entry nodes
	Address           string            // this node's peer address, as known to other control nodes
	Place             poller.Place      // location of this node
	RegionOf          map[string]string // by data centre; the keys are the data centres that may be evacuated
}

// Intervals, timeouts and limits.
const (
	syncInterval        = 250 * time.Millisecond
	shareInterval       = 100 * time.Millisecond
	partitionedAfter    = 2500 * time.Millisecond
	staleAfter          = 600 * time.Millisecond // two Shares, and some delay
	lateHeartbeats      = 1.5                    // intervals without a heartbeat after which an upstream may have reported elsewhere
	heldTimeout         = 2 * time.Second
	proposeTimeout      = 900 * time.Millisecond // operators try another node after a second
	readTimeout         = 900 * time.Millisecond
	leaveTimeout        = 800 * time.Millisecond
	maxMissedHeartbeats = 4 // heartbeats missed before an upstream counts as silent
	forgetAfter         = 45 * time.Second
	entrySilentAfter    = 2 * time.Second // an entry node that has not reported for this long is not returned to callers
	holderGrace         = 2 * time.Second // see leaderLostAfter
	statusInterval      = 100 * time.Millisecond
	// Times after which a node counts as cut off. Its entry nodes must have reported to another one within entrySilentAfter and
	// holderGrace of its last Share. If they waited until raft notices that the leader is gone (up to 2 s), that took up to 3.5 s, and
	// over 4 s if a Share was lost or the machine was busy.
	leaderLostAfter = time.Second // five heartbeats of the leader
	votersLostAfter = staleAfter
)

// maxRecords limits the records in one reply to an entry node. 256 records take about 25 kB.
const maxRecords = 256

// Server is a control node.
type Server struct {
	o      Options
	epoch  uint64 // identifies this run, so that entry nodes notice a restart
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	crashes *deny.Blocklist

	pieces configPieces
	hosts  hostRegions
	askers callerCounter

	mu            sync.Mutex
	roster        *roster.Registry
	sharedVersion uint64          // roster version up to which changes were sent to the other nodes
	fetching      map[string]bool // control nodes that all records are being requested from, by address

	noticesSeen uint64   // number of the last notice that was applied; owned by run
	evacuations evac.Set // the set that was logged last; owned by run

	statusMu sync.Mutex
	statusAt time.Time
	group    groupStatus
}

// groupStatus is what this node's member of the control group knows.
type groupStatus struct {
	current bool      // it has everything that was acknowledged before its group's leader was elected
	contact time.Time // when it last heard from the leader or, as the leader, from a majority
	others  []string  // peer addresses of the other voters
	voters  int
}

// New creates a Server and starts its background work.
func New(o Options) *Server {
	epoch := uint64(o.Clock.Now().UnixNano())
	s := &Server{
		o: o, epoch: epoch, crashes: deny.New(), fetching: map[string]bool{}, roster: newRegistry(&o, epoch),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(s.run)
	return s
}

func newRegistry(o *Options, epoch uint64) *roster.Registry {
	return roster.New(roster.Config{
		Self: o.Address, Epoch: epoch, SilentAfter: maxMissedHeartbeats * o.HeartbeatInterval, OwnerTimeout: partitionedAfter, ForgetAfter: forgetAfter,
		EntryTimeout: entrySilentAfter, OwnerGrace: holderGrace,
		StaleAfter: staleAfter, LateAfter: time.Duration(lateHeartbeats * float64(o.HeartbeatInterval)),
	})
}

// Close stops the background work and waits for it.
func (s *Server) Close() {
	s.cancel()
	s.wg.Wait()
}

// run applies the group's notices, logs evacuations, sends local changes to the other control nodes and marks silent upstreams.
func (s *Server) run() {
	var synced time.Time
	for clock.Sleep(s.ctx, s.o.Clock, shareInterval) == nil {
		now := s.o.Clock.Now()
		s.applyNotices(now)
		s.logEvacuations()
		due := now.Sub(synced) >= syncInterval
		if due {
			synced = now
		}
		s.share(now, due)
		s.updateStale(now)
	}
}

func (s *Server) updateStale(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.UpdateStale(now)
}

// share sends changes to the other control nodes. If a sync is due, it always sends a Share.
func (s *Server) share(now time.Time, due bool) {
	if share, changed := s.unshared(now, due); changed || due {
		s.broadcast(rosterMessage{Share: share})
	}
}

// unshared returns the changes that have not been sent yet, and whether there are any. If there are or a sync is
// due, they are marked as sent.
func (s *Server) unshared(now time.Time, due bool) (roster.SyncMessage, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if due {
		s.roster.Tick(now)
	} else if s.roster.Version() == s.sharedVersion {
		return roster.SyncMessage{}, false
	}
	share := s.roster.SyncSince(now, s.sharedVersion)
	changed := len(share.Upstreams)+len(share.Entries) > 0
	if changed || due {
		s.sharedVersion = share.Version
	}
	return share, changed
}

// rosterMessage is the body of a KindRoster message.
type rosterMessage struct {
	Share   roster.SyncMessage `cbor:"1,keyasint"`
	Crashes []deny.Record      `cbor:"2,keyasint,omitempty"` // crash records that this node has just received from an entry node
}

func encode(v any) []byte {
	body, err := cbor.Marshal(v)
	if err != nil { // cannot happen: messages contain plain values only
		panic(err)
	}
	return body
}

func (s *Server) broadcast(m rosterMessage) {
	body := encode(m)
	for _, address := range s.o.Member.Addresses() {
		s.o.Hub.Send(address, peer.KindRoster, body)
	}
}

// status returns the state of the control group, which is cached for statusInterval.
func (s *Server) status() groupStatus {
	now := s.o.Clock.Now()
	s.statusMu.Lock()
	defer s.statusMu.Unlock()
	if now.Sub(s.statusAt) < statusInterval {
		return s.group
	}
	s.statusAt = now
	status, ok := s.o.Member.Status()
	s.group = groupStatus{current: ok && status.Raft.Current && status.Err == nil, contact: status.Raft.Contact}
	for _, m := range status.Raft.Members {
		if m.Learner {
			continue
		}
		s.group.voters++
		if m.ID != status.Raft.ID {
			s.group.others = append(s.group.others, m.Address)
		}
	}
	return s.group
}

// Handle handles a message from another process. ok is false if this package does not handle messages of that
// kind.
func (s *Server) Handle(_ context.Context, kind peer.Kind, body []byte) (reply []byte, ok bool, err error) {
	switch kind {
	case peer.KindRoster:
		return nil, true, s.handleShare(body)
	case peer.KindHeld:
		return encode(rosterMessage{Share: s.held()}), true, nil
	case peer.KindLeaving:
		return nil, true, s.handleLeaving(body)
	case peer.KindFollow:
		reply, err = s.follow(body)
		return reply, true, err
	case peer.KindMember, peer.KindSpread, peer.KindRelay, peer.KindRaft, peer.KindReply, peer.KindPropose, peer.KindEvents,
		peer.KindStatus, peer.KindQuery, peer.KindOperate, peer.KindCrash, peer.KindAskCrash, peer.KindAdmit, peer.KindPieces,
		peer.KindPlace:
	}
	return nil, false, nil
}

// handleShare handles changes from another control node, and requests all of its records if some are missing.
func (s *Server) handleShare(body []byte) error {
	var m rosterMessage
	if err := cbor.Unmarshal(body, &m); err != nil {
		s.o.Events.Emit(event.PeerMessageRefused, event.F("peer", "control"), event.F("reason", err))
		return err
	}
	now := s.o.Clock.Now()
	s.mergeCrashes(now, m.Crashes, m.Share.From)
	if m.Share.From == "" {
		return nil
	}
	if s.mergeShare(now, m.Share) {
		s.wg.Go(func() { s.fetchHeld(m.Share.From) })
	}
	return nil
}

// mergeShare merges a Share and reports whether all records must be requested from its sender. At most one such
// request per sender is in progress.
func (s *Server) mergeShare(now time.Time, share roster.SyncMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.roster.ApplySync(now, share) || s.fetching[share.From] {
		return false
	}
	s.fetching[share.From] = true
	return true
}

// held returns all records that this node received itself.
func (s *Server) held() roster.SyncMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.SyncSince(s.o.Clock.Now(), 0)
}

// fetchHeld requests all records that a control node received itself. If there is no reply, the next Share
// triggers another request.
func (s *Server) fetchHeld(address string) {
	ctx, cancel := context.WithTimeout(s.ctx, heldTimeout)
	defer cancel()
	reply, err := s.o.Hub.Call(ctx, address, peer.KindHeld, nil)
	var m rosterMessage
	if err == nil {
		err = cbor.Unmarshal(reply, &m)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.fetching, address)
	if err == nil {
		s.roster.ApplySync(s.o.Clock.Now(), m.Share)
	}
}

func (s *Server) mergeCrashes(now time.Time, notes []deny.Record, from string) {
	for _, c := range s.crashes.Merge(now, notes) {
		s.o.Events.Emit(event.ContentBlocked, event.F("content", c), event.F("peer", from))
	}
}

// follow replies to the poll of an entry node.
func (s *Server) follow(body []byte) ([]byte, error) {
	var poll poller.Query
	if err := cbor.Unmarshal(body, &poll); err != nil {
		return nil, err
	}
	group := s.status()
	control := s.o.Member.Addresses()
	latest := s.o.Member.Latest()
	reply := poller.Reply{Epoch: s.epoch, Sure: group.current, Version: latest.Version, Place: s.o.Place}
	if poller.ControlSum(append(control, s.o.Address)) != poll.Control {
		reply.Control = append(control, s.o.Address)
	}
	if poll.Epoch != s.epoch {
		poll.Seen, poll.SuspectsSeen, poll.Stale = 0, 0, 0
	}
	now := s.o.Clock.Now()
	if len(poll.Crashes) > 0 {
		s.mergeCrashes(now, poll.Crashes, "entry")
		if poll.Entry != nil {
			s.broadcast(rosterMessage{Crashes: poll.Crashes})
		}
	}
	reply.Suspects, reply.SuspectsVersion = s.crashes.Suspects(now, poll.SuspectsSeen)
	stale := s.stale(&poll) // before the records, so that none is missing of an upstream that is no longer stale
	reply.Delta, reply.Apart = s.records(now, &poll, control)
	if !reply.Delta.More {
		reply.Stale = stale
	}
	reply.CutOff = s.cutOff(now, group)
	if set := s.Evacuations(); set.Version > poll.Evacuations {
		reply.Evacuations = &set
	}
	if poll.Text != nil {
		reply.Text = s.pieces.piece(latest, poll.Version, *poll.Text)
	}
	return reply.Encode()
}

// records returns the records that a poll asks for. For an entry node that follows this node, it also returns
// the control nodes that this node does not hear from.
func (s *Server) records(now time.Time, poll *poller.Query, control []string) (roster.Delta, []roster.SyncPosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case poll.Entry != nil:
		s.roster.ReportEntry(now, *poll.Entry)
		return s.roster.ChangesSince(now, poll.Seen, maxRecords), s.roster.UnreachablePeers(now, control, partitionedAfter)
	case poll.Held:
		return s.roster.OwnedChangesSince(now, poll.Seen, maxRecords), nil
	}
	return roster.Delta{}, nil
}

// stale returns the set of stale upstreams for an entry node that follows this node and has another one; else nil.
func (s *Server) stale(poll *poller.Query) *roster.StaleSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.roster.Stale()
	if poll.Entry == nil || poll.Stale == set.Version {
		return nil
	}
	return &set
}

// cutOff reports whether this node has lost its group: neither the leader nor, with this node, a majority of the voters was heard
// lately. While a leader is elected the voters hear each other, so that entry nodes do not all look for another control node.
func (s *Server) cutOff(now time.Time, group groupStatus) bool {
	if now.Sub(group.contact) < leaderLostAfter {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := len(s.roster.UnreachablePeers(now, group.others, votersLostAfter))
	return 2*lost >= group.voters && lost > 0
}

// Upstreams returns the number of registered upstreams by state, for metrics.
func (s *Server) Upstreams() map[roster.State]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.CountByState()
}

// Suspects returns the number of request contents that entry nodes reported after a crash, for metrics.
func (s *Server) Suspects() int { return s.crashes.Len() }

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n")) // fails only if the caller disconnected; it will retry
}

func writeJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the caller disconnected; it will retry
}
