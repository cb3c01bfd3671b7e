package ctlsrv

import (
	"context"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/berylledge/berylledge/internal/base/event"
	"github.com/berylledge/berylledge/internal/gate/evac"
	"github.com/berylledge/berylledge/internal/gate/proto"
	"github.com/berylledge/berylledge/internal/state/vdoc"
)

// An order to evacuate a data centre, and its revocation, are acknowledged once the control group has stored them. Both may be
// repeated at any control node. After a 503 the order may or may not be in force, and the operator sends it again. An order whose
// operator has closed the connection is not carried out any more, and one that is held up after that is rejected by the group.

// Values of the field action of event.EvacuationOrder.
const (
	actionEvacuate = "evacuate"
	actionRevoke   = "revoke"
)

// evacuate handles the order that nothing more be sent to the upstreams of a data centre.
func (s *Server) evacuate(w http.ResponseWriter, r *http.Request) {
	s.handleOrder(w, r, actionEvacuate)
}

// revokeEvacuation handles the revocation of such an order.
func (s *Server) revokeEvacuation(w http.ResponseWriter, r *http.Request) {
	s.handleOrder(w, r, actionRevoke)
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request, action string) {
	dataCentre := pathvar.Vars(r)[pathParameter(s.o.Dialect.Paths.Evacuation)]
	status, reason := http.StatusOK, ""
	switch _, known := s.o.RegionOf[dataCentre]; {
	case known:
		change := vdoc.Change{Notice: evac.Notice(dataCentre), Remove: action == actionRevoke}
		switch err := s.changePermanent(r, change); {
		case errors.Is(err, errBody):
			status, reason = http.StatusBadRequest, err.Error()
		case err != nil:
			status, reason = http.StatusServiceUnavailable, err.Error()
		}
	case proto.ValidateID(dataCentre) != nil:
		status, reason = http.StatusBadRequest, "a data centre has a name of 1 to 256 visible ASCII characters"
	default:
		status, reason = http.StatusNotFound, "the data centre is not in the settings"
	}
	s.o.Events.Emit(event.EvacuationOrder, event.F("data_centre", dataCentre), event.F("action", action), event.F("status", status),
		event.F("reason", reason))
	if status == http.StatusOK {
		writeJSON(w, []byte("{}"))
		return
	}
	writeText(w, status, reason)
}

// changePermanent carries out a change while its caller waits.
func (s *Server) changePermanent(r *http.Request, c vdoc.Change) error {
	if err := s.awaitSender(r); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	return s.o.Member.ChangePermanent(ctx, c)
}

// pathParameter returns the name of the parameter at the end of a route's path.
func pathParameter(path string) string { return path[strings.LastIndexByte(path, ':')+1:] }

// Evacuations returns the evacuated data centres as this member of the control group has applied them.
func (s *Server) Evacuations() evac.Set { return evac.FromNotices(s.o.Member.Permanent()) }

// logEvacuations writes a line when the group has stored a change of the evacuated data centres.
func (s *Server) logEvacuations() {
	set, changed := s.evacuations.Merge(s.Evacuations())
	if !changed {
		return
	}
	s.evacuations = set
	s.o.Events.Emit(event.EvacuationStored, event.F("version", set.Version), event.F("data_centres", strings.Join(set.DataCentres, ",")))
}
