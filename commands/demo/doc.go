// Package demo runs entries, endpoints and stand-ins of the platform, an engine and a plain service in one process,
// sends requests and checks the answers. It fails if an answer is truncated, mixed up with another, or computed twice.
package demo
