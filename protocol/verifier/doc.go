// Package verifier has HTTP clients take for an answer only what RFC 9112 lets them: it reads beside net/http what that does not tell
// of a connection, and an answer that it passes on is one, and whole once its body ends with io.EOF.
package verifier
