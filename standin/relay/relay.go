package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies the errors of this package.
type Kind string

// KindListen says that listening on loopback failed.
const KindListen Kind = "listen"

// Error is a failure to open a relay.
type Error = fault.Error[Kind]

// Relay is a TCP proxy in front of one target; its faults can be injected while connections are open.
type Relay struct {
	listener net.Listener
	target   string

	mu       sync.Mutex
	delay    time.Duration
	links    []*link
	accepted int
	bytes    int64
}

// link is a proxied connection: downstream to the caller, upstream to the target.
type link struct {
	downstream, upstream net.Conn
	mu                   sync.Mutex
	// blackholed says that nothing is delivered in either direction.
	blackholed bool
	// dropsResponses says that nothing from the target is delivered.
	dropsResponses bool
}

// New returns a relay from a free loopback port to target, an IP address and port. It returns an Error of KindListen.
func New(target string) (*Relay, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New("open relay", KindListen, err)
	}
	r := &Relay{listener: l, target: target}
	go r.acceptLoop()
	return r, nil
}

// Address returns the relay's IP address and port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Accepted returns the number of connections that were accepted and connected to the target.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Bytes returns the number of bytes read in both directions, including those that were not delivered.
func (r *Relay) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// Blackhole stops delivery in both directions on every open connection, for good, and returns the number of these.
func (r *Relay) Blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.mu.Lock()
		l.blackholed = true
		l.mu.Unlock()
	}
	return len(r.links)
}

// DropResponses stops delivery from the target on every open connection, for good; data to the target still arrives.
func (r *Relay) DropResponses() {
	r.forEach(func(l *link) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.dropsResponses = true
	})
}

// Reset closes both sides of every open connection with an RST.
func (r *Relay) Reset() {
	r.forEach(func(l *link) {
		for _, c := range []net.Conn{l.downstream, l.upstream} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	})
}

// SetDelay delays all data read from now on by d, in both directions; 0 ends the delay.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// forEach calls do for a snapshot of the open links, without holding r.mu.
func (r *Relay) forEach(do func(*link)) {
	r.mu.Lock()
	links := append([]*link(nil), r.links...)
	r.mu.Unlock()
	for _, l := range links {
		do(l)
	}
}

// Close stops listening and closes every open connection.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		_, _ = l.downstream.Close(), l.upstream.Close()
	}
}

func (r *Relay) acceptLoop() {
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", r.target)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		l := &link{downstream: downstream, upstream: upstream}
		r.mu.Lock()
		r.links, r.accepted = append(r.links, l), r.accepted+1
		r.mu.Unlock()
		go r.forward(l, upstream, downstream)
		go r.forward(l, downstream, upstream)
	}
}

// forward copies data in one direction until from ends. It still reads data that is not to be delivered, so that the
// sender isn't blocked, and then doesn't pass on the end of the connection either.
func (r *Relay) forward(l *link, to, from net.Conn) {
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
			r.remove(l)
		}
		return
	}
}

// deliver writes b unless the link drops data to that side, and reports whether it delivers.
func (l *link) deliver(to io.Writer, b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blackholed || l.dropsResponses && to == io.Writer(l.downstream) {
		return false
	}
	if len(b) > 0 {
		_, _ = to.Write(b)
	}
	return true
}

// count adds n to the bytes read and returns the delay before they are delivered.
func (r *Relay) count(n int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytes += int64(n)
	return r.delay
}

func (r *Relay) remove(closed *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.links[:0]
	for _, l := range r.links {
		if l != closed {
			kept = append(kept, l)
		}
	}
	r.links = kept
}
