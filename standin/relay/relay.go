package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies a relay's failure.
type Kind string

// KindListen says that the relay cannot listen.
const KindListen Kind = "listen"

// Error is a relay that could not be opened.
type Error = fault.Error[Kind]

// Relay passes connections on to a target.
type Relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	delay    time.Duration
	open     []*link
	accepted int
	bytes    int64
}

// link is one connection and its counterpart.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
	// mute says that nothing that comes from the target is delivered.
	mute bool
}

// New returns a relay on loopback before the target's IP address and port.
func New(target string) (*Relay, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("open relay", KindListen, err)
	}
	r := &Relay{listener: l, target: target}
	go r.serve()
	return r, nil
}

// Address returns the relay's IP address and port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Accepted returns how many connections were opened.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Bytes returns how many bytes were passed on, both ways.
func (r *Relay) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Silence lets every open connection go silent and returns how many there were.
func (r *Relay) Silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.open {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(r.open)
}

// Mute lets nothing that comes from the target through on any open connection; what goes to it still does.
func (r *Relay) Mute() {
	r.each(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.mute = true
	})
}

// Reset resets every open connection.
func (r *Relay) Reset() {
	r.each(func(l *link) {
		for _, c := range []net.Conn{l.near, l.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// Delay holds everything back for a time from now on.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

func (r *Relay) each(do func(*link)) {
	r.mu.Lock()
	open := append([]*link(nil), r.open...)
	r.mu.Unlock()
	for _, l := range open {
		do(l)
	}
}

// Close ends every connection and stops listening.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.open {
		_, _ = l.near.Close(), l.far.Close()
	}
}

func (r *Relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far}
		r.mu.Lock()
		r.open, r.accepted = append(r.open, l), r.accepted+1
		r.mu.Unlock()
		go r.pass(l, far, near)
		go r.pass(l, near, far)
	}
}

// pass copies from one end to the other, and goes on reading what it no longer delivers.
func (r *Relay) pass(l *link, to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		time.Sleep(r.count(n))
		delivers := l.deliver(to, b[:n])
		if err == nil {
			continue
		}
		if delivers {
			_, _ = to.Close(), from.Close()
			r.forget(l)
		}
		return
	}
}

// deliver writes b and reports whether the link still delivers.
func (l *link) deliver(to io.Writer, b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent || l.mute && to == io.Writer(l.near) {
		return false
	}
	if len(b) > 0 {
		_, _ = to.Write(b)
	}
	return true
}

// count counts bytes and returns how long they are held back.
func (r *Relay) count(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += int64(n)
	return r.delay
}

func (r *Relay) forget(gone *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.open[:0]
	for _, l := range r.open {
		if l != gone {
			kept = append(kept, l)
		}
	}
	r.open = kept
}
