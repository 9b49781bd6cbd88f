package claimer

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/coordination/binder"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/state/object"
)

// Claimer binds callers' idempotency keys to tickets in the platform's store.
type Claimer struct {
	store kingcupstile.Store
	now   func() time.Time
}

// Option sets a field of a Claimer under construction.
type Option func(*Claimer)

// Now sets the clock by which expired tickets are refused.
func Now(now func() time.Time) Option { return func(c *Claimer) { c.now = now } }

// New returns a claimer that writes to store.
func New(store kingcupstile.Store, options ...Option) *Claimer {
	c := &Claimer{store: store, now: time.Now}
	for _, option := range options {
		option(c)
	}
	return c
}

// Name returns the name of the stored object for an account's key on a service: a hash, in hexadecimal digits.
func Name(account, service, key string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// Claim returns the ticket that the key is bound to, and binds it to the proposed one if it was not bound before. It
// returns the store's Error if the binding could not be established, or an Error of package binder if the stored ticket
// is not valid; after an error, nothing may be sent under the key.
func (c *Claimer) Claim(ctx context.Context, account, service, key string, proposed binder.Ticket) (binder.Ticket, error) {
	name := Name(account, service, key)
	claim := object.New(object.KindClaim, name, object.Value([]byte(proposed.Key())))
	_, err := c.store.Put(ctx, claim)
	if err == nil {
		return proposed, nil
	}
	kind := fault.KindOf[kingcupstile.Kind](err)
	if kind != kingcupstile.KindConflict && kind != kingcupstile.KindUncertain {
		return binder.Ticket{}, err
	}
	stored, err := c.store.Get(ctx, object.KindClaim, name)
	if err != nil {
		return binder.Ticket{}, err
	}
	return binder.Parse(string(stored.Value()), c.now())
}
