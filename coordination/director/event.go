package director

import (
	"time"

	"github.com/kingcupstile/kingcupstile/state/catalog"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// Event is an input of Step.
type Event interface{ isEvent() }

// CatalogReceived carries a version of the configuration and when it arrived.
type CatalogReceived struct {
	Catalog catalog.Catalog
	At      time.Time
}

// RosterReceived carries a version of the VM list and when it arrived.
type RosterReceived struct {
	Roster roster.Roster
	At     time.Time
}

// ReportReceived carries a report that an endpoint sent about itself.
type ReportReceived struct {
	Endpoint string
	Report   roster.Report
}

// PollMissed says that an endpoint did not answer a poll.
type PollMissed struct {
	Endpoint string
	At       time.Time
}

// Tick is sent periodically to detect missed heartbeats and to expire delisted endpoints.
type Tick struct{ At time.Time }

// Drain marks this daemon as leaving; it is not undone.
type Drain struct{}

func (CatalogReceived) isEvent() {}
func (RosterReceived) isEvent()  {}
func (ReportReceived) isEvent()  {}
func (PollMissed) isEvent()      {}
func (Tick) isEvent()            {}
func (Drain) isEvent()           {}

// Effect is an action to be carried out outside the control goroutine.
type Effect interface{ isEffect() }

// Watch starts polling an endpoint for reports.
type Watch struct{ Endpoint roster.VM }

// Unwatch stops polling an endpoint that this daemon no longer uses.
type Unwatch struct{ Endpoint string }

func (Watch) isEffect()   {}
func (Unwatch) isEffect() {}
