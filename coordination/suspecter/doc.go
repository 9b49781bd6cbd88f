// Package suspecter tracks the requests that are suspected of crashing endpoints, and decides when an entry tells the
// others of them and when it saves them on the platform. If many endpoints are lost at once, only requests that ran
// alone are blamed.
package suspecter
