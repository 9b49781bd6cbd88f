// Package beater exchanges heartbeats between entries in datagrams, of which some may be lost.
package beater
