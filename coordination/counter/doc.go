// Package counter counts, per endpoint, the attempts that this daemon has in flight there and how many recently failed.
// Readers take no lock.
package counter
