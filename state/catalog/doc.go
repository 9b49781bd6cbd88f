// Package catalog holds one version of the configuration as an immutable value: services, client accounts, drained VMs
// and the audit trail, and their division into a head and parts for storage. Which version is adopted is decided by
// package director.
package catalog
