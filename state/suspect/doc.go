// Package suspect provides immutable records of requests during which an endpoint or runner crashed, and of the parts of
// prompts that such requests share. Records of a fingerprint or part merge to the same result in any order. Attributing
// crashes to requests is left to the callers.
package suspect
