// Package director keeps an entry's view of the cluster: the configuration in force, the VM list, and the endpoints
// with their last reports. Step is a pure function; a configuration or VM list whose version is not above the current
// one is ignored.
package director
