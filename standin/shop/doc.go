// Package shop provides a fake HTTP service with print orders, which are not idempotent, and look-ups, which are.
// It counts how often each order ran, so that tests can detect duplicates.
package shop
