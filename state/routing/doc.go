// Package routing provides the immutable configuration that operators set for callers' requests: routes, services,
// client accounts and limits, independent of how it is encoded and where it is stored.
package routing
