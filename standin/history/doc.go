// Package history simulates one history of requests under injected faults and checks that callers were told the truth
// about whether their requests ran. The decisions are those of the production packages binder, claimer, dispatcher and
// keeper; the network, the runners, the clock and the platform are simulated. The same
// seed gives the same history.
package history
