// Package admitter decides for one endpoint which attempts start, wait or are refused, and adapts the endpoint's
// concurrency limit to the latency of its attempts. An attempt that has started is never refused.
package admitter
