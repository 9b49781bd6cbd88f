// Package platform is an in-memory stand-in for the platform, for tests, demos and the standalone mode: versioned
// objects with compare-and-swap writes and long-poll watches, and the VM list, in Go and over HTTP. Faults can be
// injected into calls. Nothing is persisted.
package platform
