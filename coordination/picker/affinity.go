package picker

import "github.com/cespare/xxhash/v2"

// PrefixLength is the number of bytes of a request's body that identify a cached prefix.
const PrefixLength = 1 << 10

// Affinity returns the fingerprint of a request's prefix, never 0. It hashes the service, the account, and either the
// conversation that the caller names or the first PrefixLength bytes of the body. The account is included so that no
// account can learn from its latency which prefixes another account has sent.
func Affinity(service, account, conversation string, body []byte) uint64 {
	d := xxhash.New()
	for _, part := range []string{service, account, conversation} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	if conversation == "" {
		_, _ = d.Write(body[:min(len(body), PrefixLength)])
	}
	return max(d.Sum64(), 1)
}
