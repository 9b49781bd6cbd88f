// Package spec holds Promela models of publishing a configuration and of switching expert maps. Its tests check them
// with Spin, and check that each variant that leaves out a guard fails. It has no code outside its tests.
package spec
