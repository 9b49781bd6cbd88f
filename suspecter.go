package kingcupstile

import (
	"context"

	"github.com/kingcupstile/kingcupstile/state/suspect"
)

// Suspecter tracks the requests that endpoints ran when they crashed, so that these run isolated or are refused.
type Suspecter interface {
	// Check returns how a request may run and the record behind it; identify is called only if any request is suspected.
	Check(identify func() suspect.Fingerprint) (suspect.Verdict, suspect.Record)
	// RecordCrash records that an endpoint crashed while it ran a request to a service, alone or beside others;
	// it returns once other entries know of the crash or need not know, or when ctx ends.
	RecordCrash(ctx context.Context, f suspect.Fingerprint, service, endpoint string, alone bool)
	// RecordSuccess records that a request ran alone on an endpoint and its answer was complete.
	RecordSuccess(f suspect.Fingerprint)
}
