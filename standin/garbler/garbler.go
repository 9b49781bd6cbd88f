package garbler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Lines are status lines that are no final answer of HTTP/1, although net/http parses them.
func Lines() []string {
	return []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 099 Early", "HTTP/1.1 600 Late", "HTTP/1.1 999 Last", "HTTP/2.0 200 OK",
	}
}

// Garbler answers each request with the same status line and a whole body, and closes the connection.
type Garbler struct {
	listener net.Listener
	line     string
	header   http.Header
	runs     atomic.Int64
}

// Option sets a field of a Garbler under construction.
type Option func(*Garbler)

// Header adds headers to the answers.
func Header(h http.Header) Option { return func(g *Garbler) { g.header = h } }

// New returns a garbler that listens on loopback.
func New(line string, options ...Option) (*Garbler, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &Garbler{listener: l, line: line}
	for _, option := range options {
		option(g)
	}
	go g.serve()
	return g, nil
}

// Address returns the address on which the garbler listens.
func (g *Garbler) Address() string { return g.listener.Addr().String() }

// Runs returns how many requests were received.
func (g *Garbler) Runs() int { return int(g.runs.Load()) }

// Close stops listening.
func (g *Garbler) Close() { _ = g.listener.Close() }

func (g *Garbler) serve() {
	for {
		connection, err := g.listener.Accept()
		if err != nil {
			return
		}
		go g.answer(connection)
	}
}

// answer answers one request, with its identifier and a whole body.
func (g *Garbler) answer(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(connection))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	g.runs.Add(1)
	const body = `{"asOf":7,"entries":[]}`
	var answer bytes.Buffer
	_, _ = fmt.Fprintf(&answer, "%s\r\nX-Request-Id: %s\r\nContent-Type: application/json\r\n", g.line, r.Header.Get("X-Request-Id"))
	_ = g.header.Write(&answer)
	_, _ = fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = connection.Write(answer.Bytes())
}
