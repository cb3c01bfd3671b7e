package crash

import (
	"time"

	"github.com/berylledge/berylledge/internal/state/poison"
)

// Event is something that happened on the node.
//
//sumtype:decl
type Event interface{ event() }

// Ask wants to start a run. The answer is Run, RunSolo (after ClaimSolo) or Block, at once or later.
type Ask struct {
	ID          uint64
	Fingerprint poison.Fingerprint
}

// Started says that the run was dispatched to an upstream.
type Started struct {
	ID          uint64
	Upstream    string
	Incarnation uint64
}

// Refused says that the upstream refused the connection, so that the run was not dispatched. It is answered like Ask.
type Refused struct{ ID uint64 }

// Recheck takes back a permit that was given before what is known now. It is answered like Ask; see Stands.
type Recheck struct{ ID uint64 }

// Ended says that the run ended while its upstream was seen to live, or that it could not be started. OK says that it
// produced its whole result.
type Ended struct {
	ID uint64
	OK bool
}

// Broken says that the connection of the run broke, or that its upstream fell silent. Run's failure is answered after
// Release.
type Broken struct{ ID uint64 }

// Died says that an incarnation of an upstream is gone: a higher one was announced, its lease ran out, or a new
// connection to it was refused. It is not used for an upstream that said that it leaves.
type Died struct {
	Upstream    string
	Incarnation uint64
}

// Survived says that an incarnation of an upstream was heard of, by a renewal or an answer. At is a time at which it
// certainly lived: a renewal that was on its way when the upstream died says nothing about runs that broke later. The
// zero value means now.
type Survived struct {
	Upstream    string
	Incarnation uint64
	At          time.Time
}

// Cancelled says that a request that was waiting for its answer to Ask has gone.
type Cancelled struct{ ID uint64 }

// Learned carries entries from the control group. Unless it is whole, it is used only by a node that knows the entries
// as of the version Before; see Gap. One that is older than what the node knows is ignored.
type Learned struct {
	Version uint64
	Before  uint64
	Whole   bool // the entries are all that there are
	Entries []poison.Entry
}

// Reported says that the control group applied a ReportDeath, as the command of the given version.
type Reported struct {
	Upstream    string
	Incarnation uint64
	Version     uint64
}

// SoloAnswer is the control group's answer to a ClaimSolo. Granted is false as well if the group could not be reached.
type SoloAnswer struct {
	ID          uint64
	Fingerprint poison.Fingerprint
	Granted     bool
	Until       time.Time
}

// Tick lets time pass; it is due every 100 ms while requests wait.
type Tick struct{}

func (Ask) event()        {}
func (Started) event()    {}
func (Refused) event()    {}
func (Recheck) event()    {}
func (Ended) event()      {}
func (Broken) event()     {}
func (Died) event()       {}
func (Survived) event()   {}
func (Cancelled) event()  {}
func (Learned) event()    {}
func (Reported) event()   {}
func (SoloAnswer) event() {}
func (Tick) event()       {}

// Action is what the node has to do.
//
//sumtype:decl
type Action interface{ action() }

// Run lets a run start. Proven says that the content succeeded lately; unless it is set, the upstream must be sampled by
// the fingerprint (route.Need.Fingerprint).
type Run struct {
	ID     uint64
	Proven bool
}

// ClaimSolo asks for an upstream to be picked and AskSolo to be proposed for it.
type ClaimSolo struct {
	ID          uint64
	Fingerprint poison.Fingerprint
}

// RunSolo lets a run start on the upstream of its claim. It must be cancelled at Until.
type RunSolo struct {
	ID    uint64
	Until time.Time
}

// Block refuses a run as not run. Unless it is isolated, the caller may send it again after RetryAfter.
type Block struct {
	ID          uint64
	Fingerprint poison.Fingerprint
	Status      poison.Status
	RetryAfter  time.Duration
}

// ReportCrash asks for ReportDeath to be proposed. It is repeated until Reported confirms it.
type ReportCrash struct{ Report poison.ReportDeath }

// ReportClear asks for ReportSuccess to be proposed.
type ReportClear struct{ Report poison.ReportSuccess }

// Release says that the failure of a broken run may now be answered or retried (through a new Ask).
type Release struct{ ID uint64 }

// FinishSolo asks for EndSolo to be proposed: a solo run ended.
type FinishSolo struct {
	ID          uint64
	Fingerprint poison.Fingerprint
}

func (Run) action()         {}
func (ClaimSolo) action()   {}
func (RunSolo) action()     {}
func (Block) action()       {}
func (ReportCrash) action() {}
func (ReportClear) action() {}
func (Release) action()     {}
func (FinishSolo) action()  {}
