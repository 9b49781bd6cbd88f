// Package exchanger is the twirp client and server by which entries exchange heartbeats, configurations and VM lists,
// and by which operators read an entry's state. Which configuration or list an entry adopts is decided by its control
// state.
package exchanger
