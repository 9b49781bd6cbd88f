// Package composer combines the states of director, limiter and suspecter into the control state of an entry, so that a
// single goroutine owns all of it. Step dispatches each event to the package that handles it.
package composer
