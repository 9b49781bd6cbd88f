// Package fault provides the error type that each package instantiates with its own kinds: a failed operation, a kind
// for callers to switch on, and a cause. The package that declares the kinds defines what they mean.
package fault
