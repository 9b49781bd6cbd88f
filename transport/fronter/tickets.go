package fronter

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// ticketAnswer holds a ticket: an idempotency key that can be used without a call to the platform.
type ticketAnswer struct {
	Ticket string    `json:"ticket"`
	Expiry time.Time `json:"expiry"`
}

// tickets answers with a new ticket for a service.
func (f *Fronter) tickets(c echo.Context) error {
	a, ok, err := f.authorize(c)
	if !ok {
		return err
	}
	ticket, ok := f.propose(a)
	if !ok {
		return f.refuse(c, http.StatusServiceUnavailable, "no-endpoint", "no endpoint takes new work")
	}
	return c.JSON(http.StatusCreated, ticketAnswer{Ticket: ticket.Key(), Expiry: ticket.Expiry()})
}

// propose returns a new ticket for an endpoint of the service that takes new work, and false if there is none.
func (f *Fronter) propose(a access) (binder.Ticket, bool) {
	endpoint, ok := f.picker.Pick(f.snapshot().Pool(a.service.Pool()), 0, nil)
	if !ok {
		return binder.Ticket{}, false
	}
	expiry := time.Now().Add(binder.MaxLifetime).Truncate(time.Second)
	return binder.New(endpoint.Name(), endpoint.Incarnation(), expiry, newIdentifier()), true
}

// bind returns the ticket of a key: the key itself if it is a ticket, or else the one that the platform holds for it.
func (f *Fronter) bind(ctx context.Context, a access, key string) (binder.Ticket, error) {
	if binder.IsTicket(key) {
		ticket, err := binder.Parse(key, time.Now())
		if err == nil && !f.isEndpointOf(a, ticket.Endpoint()) {
			err = fault.Newf("bind key", binder.KindMalformed, "the ticket is for another service")
		}
		return ticket, err
	}
	if len(key) > binder.MaxKeyLength {
		return binder.Ticket{}, fault.Newf("bind key", binder.KindMalformed, "over %d bytes", binder.MaxKeyLength)
	}
	proposed, ok := f.propose(a)
	if !ok || f.claimer == nil {
		return binder.Ticket{}, fault.Newf("bind key", kingcupstile.KindUnavailable, "no endpoint takes new work")
	}
	return f.claimer.Claim(ctx, a.grant.Account(), a.service.Name(), key, proposed)
}

// isEndpointOf reports whether an endpoint belongs to the service's pool. One that is missing from the VM list passes,
// since no attempt can reach it.
func (f *Fronter) isEndpointOf(a access, endpoint string) bool {
	vm, known := f.snapshot().Roster().VM(endpoint)
	return !known || (vm.Role() == roster.RoleEndpoint && vm.Pool() == a.service.Pool())
}

// refuseKey answers a request whose key could not be bound to an endpoint.
func (f *Fronter) refuseKey(c echo.Context, err error) error {
	switch fault.KindOf[binder.Kind](err) {
	case binder.KindMalformed, binder.KindDistant:
		return f.refuse(c, http.StatusBadRequest, "key", err.Error())
	case binder.KindExpired:
		return f.fail(c, problem(http.StatusGone, attempt.OutcomeUnknown, "key-expired"), 0)
	}
	return f.fail(c, problem(http.StatusServiceUnavailable, attempt.OutcomeUnknown, "claim"), time.Second)
}
