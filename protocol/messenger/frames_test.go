package messenger_test

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
	"github.com/kingcupstile/kingcupstile/state/attempt"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// FuzzRead checks that any bytes are either read as a message or rejected with a kind, and that a decoded attempt does
// not change when it is encoded and decoded again.
func FuzzRead(f *testing.F) {
	var good bytes.Buffer
	soon := time.Unix(1_800_000_000, 0)
	a := attempt.New("r1", attempt.Key("k"), attempt.To("desk-1", "first"), attempt.Expiry(soon), attempt.Deadline(soon),
		attempt.HTTP(http.MethodPost, "/orders", http.Header{"X-A": {"1", "2"}}, []byte("order")))
	if err := messenger.Write(&good, messenger.EncodeAttempt(a)); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Add(good.Bytes()[:good.Len()-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add([]byte{0})
	f.Fuzz(func(t *testing.T, stream []byte) {
		m := &wire.Attempt{}
		if err := messenger.Read(bufio.NewReader(bytes.NewReader(stream)), m); err != nil {
			if fault.KindOf[messenger.Kind](err) != messenger.KindUnreadable {
				t.Errorf("error of another kind: %v", err)
			}
			return
		}
		once := messenger.EncodeAttempt(messenger.DecodeAttempt(m))
		twice := messenger.EncodeAttempt(messenger.DecodeAttempt(once))
		sorted := protocmp.SortRepeated(func(a, b *wire.Header) bool { return a.GetName() < b.GetName() })
		if diff := cmp.Diff(once, twice, protocmp.Transform(), sorted); diff != "" {
			t.Errorf("changed when encoded and decoded again:\n%s", diff)
		}
		_, err := messenger.ReadFrame(bufio.NewReader(bytes.NewReader(stream)), "r1#1")
		if err != nil && fault.KindOf[messenger.Kind](err) == "" {
			t.Errorf("error of a frame without a kind: %v", err)
		}
	})
}
