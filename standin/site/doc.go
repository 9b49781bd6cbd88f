// Package site is a stand-in of the users' platform, written from its published protocol: the store of objects, and
// runners that answer whole or in streams. Faults are set by the tests that use it.
package site
