// Package beater sends heartbeats to the other entries and receives theirs, as UDP datagrams that may be lost.
package beater
