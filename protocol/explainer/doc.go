// Package explainer encodes the outcome of a request as problem details (RFC 9457); callers decide the outcome,
// the status and the reason.
package explainer
