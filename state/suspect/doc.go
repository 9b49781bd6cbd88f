// Package suspect provides immutable records of requests during which an endpoint or runner crashed. Records
// of a fingerprint merge to the same result in any order. Attributing crashes to requests is left to the callers.
package suspect
