// Package binder encodes and parses tickets: idempotency keys that name the one endpoint incarnation that may run their
// request. The binding is in the key itself, so entries store nothing for it.
package binder
