// Package spec holds the specifications of publishing and of the switch of expert maps, which its tests check with Spin;
// it holds no code.
package spec
