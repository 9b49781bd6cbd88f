package surveyor

import (
	"context"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/member"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

const (
	queryTimeout  = time.Second
	retryInterval = 200 * time.Millisecond
	// maxConcurrent is the maximum number of concurrent queries.
	maxConcurrent = 64
)

// Surveyor queries entries through a StatusReader, which must be safe for concurrent use.
type Surveyor struct{ reader kingcupstile.StatusReader }

// New returns a surveyor that queries entries through reader.
func New(reader kingcupstile.StatusReader) Surveyor { return Surveyor{reader: reader} }

// Reply is an entry's answer, or the error if there is none.
type Reply struct {
	vm     roster.VM
	status member.Status
	err    error
}

// VM returns the entry as it is in the VM list.
func (r Reply) VM() roster.VM { return r.vm }

// Status returns the entry's answer, the zero value if Err is not nil.
func (r Reply) Status() member.Status { return r.status }

// Err returns the error of the query, of KindUnavailable if the entry did not answer within 1 s; nil after an answer.
func (r Reply) Err() error { return r.err }

// Ask queries every entry in a VM list that is not leaving and returns the replies in order of names.
func (s Surveyor) Ask(ctx context.Context, r roster.Roster) []Reply {
	var entries []Reply
	for _, vm := range r.VMs() {
		if vm.Role() == roster.RoleEntry && vm.Status() != roster.StatusLeaving {
			entries = append(entries, Reply{vm: vm})
		}
	}
	return s.ask(ctx, entries)
}

func (s Surveyor) ask(ctx context.Context, entries []Reply) []Reply {
	replies := make([]Reply, len(entries))
	slots := make(chan struct{}, maxConcurrent)
	var work sync.WaitGroup
	for i, entry := range entries {
		replies[i] = entry
		slots <- struct{}{}
		work.Go(func() {
			defer func() { <-slots }()
			call, cancel := context.WithTimeout(ctx, queryTimeout)
			defer cancel()
			replies[i].status, replies[i].err = s.reader.Status(call, entry.vm.PeerAddress())
		})
	}
	work.Wait()
	return replies
}

// Await queries the entries that are not leaving until each has at least the given version in force or ctx ends. It
// returns the last replies of the entries that lag behind.
func (s Surveyor) Await(ctx context.Context, r roster.Roster, version uint64) []Reply {
	lagging := s.Ask(ctx, r)
	for {
		var still []Reply
		for _, reply := range lagging {
			if reply.err != nil || reply.status.Version < version {
				still = append(still, reply)
			}
		}
		if len(still) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return still
		case <-time.After(retryInterval):
		}
		lagging = s.ask(ctx, still)
	}
}
