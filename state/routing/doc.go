// Package routing holds what operators decide about callers' requests: routes, services, client accounts and limits;
// it never knows how the configuration is encoded or where it came from.
package routing
