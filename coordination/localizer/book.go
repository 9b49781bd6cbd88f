package localizer

import "sync"

// Book keeps the localizer of each service. It is shared by the goroutines that serve traffic, and is not part of the control state.
type Book struct {
	mu         sync.Mutex
	localizers map[string]Localizer
}

// NewBook returns a book without localizers.
func NewBook() *Book { return &Book{localizers: map[string]Localizer{}} }

// Update replaces the localizer of a service, the zero value if there is none, by what change returns, and returns that.
func (b *Book) Update(service string, change func(Localizer) Localizer) Localizer {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := change(b.localizers[service])
	b.localizers[service] = l
	return l
}
