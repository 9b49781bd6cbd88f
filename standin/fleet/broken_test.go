package fleet_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/standin/garbler"
)

// TestBrokenAnswersReachNoCaller guards against a part of a runner's answer that reaches a caller of an entry as a whole one, also a caller
// of HTTP/1.0, to whom the end of the connection is that of the answer.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	const cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	d := newTestbed(t)
	d.fleet.Kill("desk-1")
	for i, test := range []struct {
		name, text string
		options    []garbler.Option
		body       int
		isWhole    bool
	}{
		{"no last chunk", cut, nil, 100, false},
		{"reset without a length", "HTTP/1.1 200 OK\r\n\r\npart", []garbler.Option{garbler.Reset()}, 3 << 20, false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Other: 1\r\n\r\npart", nil, 100, false},
		{"no length, ended in order", "HTTP/1.1 200 OK\r\n\r\nwhole", nil, 100, true},
		{"answered early, then read", "HTTP/1.1 200 OK\r\n\r\nwhole", []garbler.Option{garbler.Early()}, 3 << 20, true},
	} {
		g, err := garbler.New("", append(test.options, garbler.Text(test.text))...)
		check(t, err)
		stop := d.replaceDesk(t, fmt.Sprint("desk-broken-", i), g.Address())
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			before := g.Runs()
			var status int
			var text string
			for until := time.Now().Add(testTimeout); g.Runs() == before && time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				status, text, err = d.callRaw(t, version, test.name+version+strings.Repeat("x", test.body))
			}
			isWhole := err == nil && status == http.StatusOK
			if isWhole != test.isWhole || isWhole && text != "whole" || g.Runs() == before {
				t.Errorf("%s, %s: status %d, %q, %v after %d runs", test.name, version, status, text, err, g.Runs()-before)
			}
		}
		stop()
		g.Close()
	}
}

// callRaw sends an order to the entry in a version of HTTP, and returns the answer's status and body with the error at which it ended.
func (d *testbed) callRaw(t *testing.T, version, body string) (status int, text string, err error) {
	t.Helper()
	connection, err := net.Dial("tcp", strings.TrimPrefix(d.entry, "http://"))
	check(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "POST /desk/v1/orders %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nConnection: close\r\n", version, key)
	check(t, err)
	_, err = fmt.Fprintf(connection, "Content-Length: %d\r\n\r\n%s", len(body), body)
	check(t, err)
	a, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(a.Body)
	return a.StatusCode, string(got), err
}
