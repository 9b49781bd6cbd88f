// Package runner holds what is known of the runners that answer requests;
// it never decides which of them gets one.
package runner
