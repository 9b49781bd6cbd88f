// Package gateway assembles and runs an entry on the users' platform: servers, heartbeats, followers of the store and
// the control loop. Package overseer makes the decisions; gateway passes it events and carries out their effects.
package gateway
