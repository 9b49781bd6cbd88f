// Package tracer generates seeded traces of the load on experts, and replays them against rebalancers in simulated
// time. A seed always gives the same trace.
package tracer
