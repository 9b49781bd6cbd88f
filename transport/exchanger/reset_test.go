package exchanger_test

import (
	"strings"
	"testing"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/standin/garbler"
	"github.com/kingcupstile/kingcupstile/state/fault"
	"github.com/kingcupstile/kingcupstile/transport/exchanger"
)

// TestResetWhileTheRequestIsWritten guards against an empty message in place of an answer that another entry broke off while the call was
// still being written: no bytes are a whole message of protobuf.
func TestResetWhileTheRequestIsWritten(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"
	g, err := garbler.New("", garbler.Text(text), garbler.Reset())
	if err != nil {
		t.Fatal(err)
	}
	defer g.Close()
	client := exchanger.New()
	defer client.Close()
	for range 10 {
		parts, err := client.Parts(t.Context(), g.Address(), []string{strings.Repeat("x", 12<<20)})
		if fault.KindOf[kingcupstile.Kind](err) != kingcupstile.KindUnavailable {
			t.Errorf("%v, %v", parts, err)
		}
	}
}
