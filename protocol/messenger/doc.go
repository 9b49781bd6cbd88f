// Package messenger encodes state values as the protobuf messages of package wire, decodes them, and frames messages in
// streams for the transport layer, which owns the connections.
package messenger
