// Package site provides HTTP fakes of the users' platform for tests, written from its published protocol: an object
// store with list and watch calls, and runners that answer with a complete body or an event stream.
// The tests inject the faults.
package site
