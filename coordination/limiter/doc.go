// Package limiter enforces the rate limits of client accounts across all entries. Each account and service has a home
// entry, which leases shares of the limit to the entries according to their demand. The leases of one home add up to at
// most the limit; they are held in memory only, not on the platform.
package limiter
