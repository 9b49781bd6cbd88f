// Package retrier limits retries to a share of each service's requests at this entry. A retry is allowed or denied at
// once, never delayed. Attempts that failed because of overload or lateness are not retried, so that retries add no
// load to an overloaded endpoint.
package retrier
