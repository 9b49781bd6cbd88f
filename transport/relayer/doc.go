// Package relayer exchanges suspects and shares of accounts' limits with other entries over twirp, and loads suspects
// from the platform and saves them there. Suspects are requests under which an endpoint may have crashed. Each message
// becomes an event of the control state, and each of its effects a call; all decisions are made there.
package relayer
