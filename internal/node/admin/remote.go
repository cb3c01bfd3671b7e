package admin

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/berylledge/berylledge/internal/fleet/member"
	"github.com/berylledge/berylledge/internal/fleet/upview"
	"github.com/berylledge/berylledge/internal/node/agent"
	"github.com/berylledge/berylledge/internal/node/ctrl"
	"github.com/berylledge/berylledge/internal/wire/peer"
)

// query brings a question to a control node, this process first, and returns the first answer that holds.
func (a *API) query(ctx context.Context, q ctrl.Query) (ctrl.Answer, *Error) {
	last := fail(CodeNoQuorum, "no control node is known")
	for _, address := range a.o.ControlNodes() {
		answer, err := a.ask(ctx, address, q)
		switch {
		case err != nil:
			last = fail(CodeNoQuorum, err.Error())
		case answer.Code == "":
			return answer, nil
		default:
			last = &Error{Code: answer.Code, Message: answer.Message, Leader: answer.Leader}
		}
		if ctx.Err() != nil {
			break
		}
	}
	return ctrl.Answer{}, last
}

// ask puts a question to one control node.
func (a *API) ask(ctx context.Context, address string, q ctrl.Query) (answer ctrl.Answer, err error) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	if own := a.o.Control(); own != nil && address == a.o.PeerAddress {
		return own.Query(ctx, q)
	}
	return call[ctrl.Answer](ctx, a, address, peer.KindQuery, q)
}

func call[T any](ctx context.Context, a *API, address string, kind peer.Kind, question any) (out T, err error) {
	body, err := cbor.Marshal(question)
	if err != nil {
		return out, err
	}
	reply, err := a.o.Call(ctx, address, kind, body)
	if err != nil {
		return out, err
	}
	return out, cbor.Unmarshal(reply, &out)
}

// The orders of an operate message.
const (
	doNodes = "nodes" // the nodes of the receiver's data centre
	doHolds = "holds" // the holds of upstreams that the receiver knows
	doHold  = "hold"  // take an upstream out of service, or back
)

// operate is a question of one process's administration to another's.
type operate struct {
	Do       string      `cbor:"1,keyasint"`
	Upstream string      `cbor:"2,keyasint,omitempty"`
	Hold     upview.Hold `cbor:"3,keyasint,omitempty"`
}

type operated struct {
	Nodes []member.Node          `cbor:"1,keyasint,omitempty"`
	Known bool                   `cbor:"2,keyasint,omitempty"` // with doHold: the upstream is known there
	Was   bool                   `cbor:"3,keyasint,omitempty"` // with doHold: it was held there before
	Holds map[string]upview.Hold `cbor:"4,keyasint,omitempty"`
}

// Handle answers a question of another process's administration.
func (a *API) Handle(ctx context.Context, body []byte) ([]byte, error) {
	var o operate
	if err := cbor.Unmarshal(body, &o); err != nil {
		return nil, err
	}
	out, err := a.operate(ctx, o)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(out)
}

func (a *API) operate(ctx context.Context, o operate) (operated, error) {
	switch o.Do {
	case doNodes:
		m, err := a.o.Membership(ctx)
		if err != nil {
			return operated{}, err
		}
		own := ""
		for _, n := range m.Nodes {
			if n.ID == a.o.Node {
				own = n.DataCentre
			}
		}
		return operated{Nodes: slices.DeleteFunc(m.Nodes, func(n member.Node) bool { return n.DataCentre != own })}, nil
	case doHold, doHolds:
		e := a.o.Entry()
		if e == nil {
			return operated{}, errors.New("this process is not an entry node")
		}
		if o.Do == doHolds {
			return operated{Holds: e.Upstreams().Holds()}, nil
		}
		known, was := e.Upstreams().SetHold(o.Upstream, o.Hold)
		return operated{Known: known, Was: was}, nil
	}
	return operated{}, errors.Newf("the order %q is not known here", o.Do)
}

// send gives an order to one process, which may be this one.
func (a *API) send(ctx context.Context, n member.Node, o operate) (operated, error) {
	if n.ID == a.o.Node {
		return a.operate(ctx, o)
	}
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	return call[operated](ctx, a, n.Address, peer.KindOperate, o)
}

// Unreached is a process that could not be asked.
type Unreached struct {
	Node   string `json:"node"`
	Reason string `json:"reason"`
}

// each calls f for all nodes at the same time and returns those for which it failed, ordered by id.
func each(nodes []member.Node, f func(member.Node) error) []Unreached {
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := []Unreached{}
	slots := make(chan struct{}, maxAtOnce)
	for _, n := range nodes {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if err := f(n); err != nil {
				mu.Lock()
				defer mu.Unlock()
				out = append(out, Unreached{n.ID, err.Error()})
			}
		})
	}
	wg.Wait()
	slices.SortFunc(out, func(x, y Unreached) int { return strings.Compare(x.Node, y.Node) })
	return out
}

// maxAtOnce bounds the questions that one order has open.
const maxAtOnce = 64

// reportedNode is a node with the revision that its own data centre reports.
type reportedNode struct {
	member.Node
	reported bool
}

// reported asks a representative of each data centre for its nodes, because revisions are gossiped inside a data centre.
// Without an answer the own knowledge stands.
func (a *API) reported(ctx context.Context) ([]reportedNode, *Error) {
	m, err := a.o.Membership(ctx)
	if err != nil {
		return nil, fail(CodeFailed, err.Error())
	}
	byID := map[string]reportedNode{}
	for _, n := range m.Nodes {
		byID[n.ID] = reportedNode{n, n.ID == a.o.Node}
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for dc := range m.Representatives {
		wg.Go(func() {
			nodes := a.askDataCentre(ctx, m, dc)
			mu.Lock()
			defer mu.Unlock()
			for _, n := range nodes {
				byID[n.ID] = reportedNode{n, true}
			}
		})
	}
	wg.Wait()
	out := make([]reportedNode, 0, len(byID))
	for _, n := range byID {
		out = append(out, n)
	}
	slices.SortFunc(out, func(x, y reportedNode) int {
		return cmp.Or(strings.Compare(x.DataCentre, y.DataCentre), strings.Compare(x.ID, y.ID))
	})
	return out, nil
}

func (a *API) askDataCentre(ctx context.Context, m agent.Membership, dc string) []member.Node {
	for _, id := range m.Representatives[dc] {
		i := slices.IndexFunc(m.Nodes, func(n member.Node) bool { return n.ID == id })
		if i < 0 {
			continue
		}
		if answer, err := a.send(ctx, m.Nodes[i], operate{Do: doNodes}); err == nil {
			return answer.Nodes
		}
	}
	return nil
}
