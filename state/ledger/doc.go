// Package ledger records which attempts one incarnation of an endpoint refused, admitted, started and finished, so that
// no identity runs there twice. A horizon is the latest expiry of what has been dropped; attempts that expire at or
// before it are refused. Callers pass the time; the package reads no clock.
package ledger
