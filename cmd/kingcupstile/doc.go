// Command kingcupstile is the client with which operators publish and inspect the configuration.
package main
