// Package claimer maps a caller's own idempotency key to a ticket with one conditional create on the platform, which
// guarantees that a key is bound to at most one ticket.
package claimer
