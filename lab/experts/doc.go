// Package experts is an experiment that compares rebalancing policies on seeded traces in simulated time. It writes a
// table of skew and moves and, if asked, a plot of each trace.
package experts
