// Package limiter enforces the rate limits of client accounts across all entries. Each account and service has a home
// entry, which leases shares of the limit to the entries according to their demand, only ever out of what its other
// leases leave of the limit. Leases are held in memory, not on the platform.
package limiter
