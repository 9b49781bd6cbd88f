package messenger_test

import (
	"math"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/rank"
)

// TestColdInReplies guards against a runner that is cold for less than a millisecond and is taken for a warm one, and against numbers that
// overflow.
func TestColdInReplies(t *testing.T) {
	for _, test := range []struct{ sent, want rank.Load }{
		{rank.Load{Open: 2}, rank.Load{Open: 2}},
		{rank.Load{Cold: 1500 * time.Millisecond, Recent: 17}, rank.Load{Cold: 1500 * time.Millisecond, Recent: 17}},
		{rank.Load{Cold: time.Microsecond}, rank.Load{Cold: time.Millisecond}},
		{rank.Load{Cold: -time.Second, Recent: -3}, rank.Load{}},
		{rank.Load{Cold: math.MaxInt64 - time.Second, Recent: math.MaxInt},
			rank.Load{Cold: math.MaxUint32 * time.Millisecond, Recent: math.MaxUint32}},
	} {
		datagram, err := messenger.EncodeProbeReply(messenger.ProbeReply{ID: 7, Load: test.sent})
		if err != nil {
			t.Fatal(err)
		}
		got, err := messenger.DecodeProbeReply(datagram)
		if err != nil || got.Load != test.want || got.ID != 7 {
			t.Errorf("%+v: got %+v, %v", test.sent, got, err)
		}
	}
	plain, _ := messenger.EncodeProbeReply(messenger.ProbeReply{ID: 7, Load: rank.Load{Open: 2}})
	limited, _ := messenger.EncodeProbeReply(messenger.ProbeReply{ID: 7, Load: rank.Load{Open: 2, Recent: 1}})
	if len(limited) != len(plain)+2 {
		t.Errorf("%d bytes with a count, %d without: zeros are sent", len(limited), len(plain))
	}
}
