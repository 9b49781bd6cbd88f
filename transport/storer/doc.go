// Package storer is the HTTP client of the platform's object API and VM list.
// It does not retry, as only its callers know whether a write may safely be repeated.
package storer
