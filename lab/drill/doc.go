// Package drill measures how soon all entries know the state of a store that came back from an older copy, and what that costs the store.
// Entries make their real decisions in simulated time; the store, the copies that entries serve, and the calls are simulated.
package drill
