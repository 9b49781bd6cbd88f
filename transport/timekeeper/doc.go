// Package timekeeper reads the machine's clock that counts time in which the machine was suspended.
package timekeeper
