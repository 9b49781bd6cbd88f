// Package lockstep is a stand-in of a rank group whose engines take orders without fences, as the users' platform has them:
// all ranks begin each pass together, and an order is judged when it is carried out, however late that is.
package lockstep
