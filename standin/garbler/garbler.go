package garbler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Fields is the mark in a text that stands for the headers of the answer, each with its line break.
const Fields = "{fields}"

const (
	// readBuffer is how much of a request the kernel takes for a garbler that resets, in bytes.
	readBuffer = 4 << 10
	// resetDelay is how long a garbler that resets waits with it; the client has then filled the buffers.
	resetDelay = 100 * time.Millisecond
)

// Lines are status lines that are no final answer of HTTP/1, although net/http parses them.
func Lines() []string {
	return []string{
		"HTTP/1.1 000 ", "HTTP/1.1 000", "HTTP/1.1 099 Early", "HTTP/1.1 600 Late", "HTTP/1.1 999 Last", "HTTP/2.0 200 OK",
	}
}

// body is that of whole answers: the store's listing of nothing, which is valid for every reader.
const body = `{"asOf":7,"entries":[]}`

// Garbler answers each request in the same way, and closes the connection.
type Garbler struct {
	listener net.Listener
	line     string
	late     string
	early    bool
	resets   bool
	header   http.Header

	mu    sync.Mutex
	texts []string
	runs  int
}

// Option sets a field of a Garbler under construction.
type Option func(*Garbler)

// Header adds headers to the answers.
func Header(h http.Header) Option { return func(g *Garbler) { g.header = h } }

// Text replaces the answers by a text, in which the headers take the place of the mark Fields.
func Text(text string) Option { return func(g *Garbler) { g.texts = []string{text} } }

// Early has the garbler answer as soon as it has the head of a request, and read the rest after that.
func Early() Option { return func(g *Garbler) { g.early = true } }

// Reset has the garbler answer as soon as it has the head of a request, and reset the connection once the client waits for room to write
// the rest. A body that fits into the buffers of the connection, or none, is written in full before that.
func Reset() Option { return func(g *Garbler) { g.early, g.resets = true, true } }

// Late has the garbler keep a connection open after an answer, and send a text, like a second answer that comes late, in place of that to
// the next request there.
func Late(text string) Option { return func(g *Garbler) { g.late = text } }

// New returns a garbler that listens on loopback and answers with a status line and a whole body.
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

// SetTexts does as the option Text with one text after the other for the next requests, and with the last one for those after them.
func (g *Garbler) SetTexts(texts ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.texts = texts
}

// next counts a request and returns the text of its answer.
func (g *Garbler) next() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.runs++
	if len(g.texts) == 0 {
		return g.line + "\r\nContent-Type: application/json\r\n" + Fields + lengthOf(body) + "\r\n" + body
	}
	text := g.texts[0]
	if len(g.texts) > 1 {
		g.texts = g.texts[1:]
	}
	return text
}

// Runs returns how many requests were received.
func (g *Garbler) Runs() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs
}

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

// answer answers one request, with its identifier.
func (g *Garbler) answer(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	if tcp, ok := connection.(*net.TCPConn); ok && g.resets {
		// Little of the request fits into the buffers, and closing sends a reset.
		_ = tcp.SetReadBuffer(readBuffer)
		_ = tcp.SetLinger(0)
	}
	source := bufio.NewReader(connection)
	r, err := http.ReadRequest(source)
	if err != nil {
		return
	}
	if !g.early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	var fields bytes.Buffer
	_, _ = fmt.Fprintf(&fields, "X-Request-Id: %s\r\n", r.Header.Get("X-Request-Id"))
	_ = g.header.Write(&fields)
	_, _ = io.WriteString(connection, strings.ReplaceAll(g.next(), Fields, fields.String()))
	switch {
	case g.resets:
		time.Sleep(resetDelay)
	case g.early:
		_, _ = io.Copy(io.Discard, r.Body)
	case g.late != "":
		if _, err := http.ReadRequest(source); err == nil {
			_, _ = io.WriteString(connection, g.late)
		}
	}
}
