// Package load simulates overload, account limits and requests that crash their endpoint, in simulated time with fixed
// seeds. The decisions are made by the production code; engines, callers and messages are simple fakes.
package load
