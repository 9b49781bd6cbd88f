package kingcupstile

// Retrier limits retries to a share of each service's requests, so that they do not add to an overload.
type Retrier interface {
	// RecordRequest counts a request to a service at its first attempt, which adds share to the service's retry budget.
	RecordRequest(service string, share float64)
	// Allow reports whether a request to a service may be retried after an attempt failed for a reason.
	Allow(service, reason string) bool
}
