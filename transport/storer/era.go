package storer

import (
	"net/http"
	"strconv"
)

const (
	// headerEra is the header in which the platform says how often its store was restored from an older copy.
	headerEra = "Era"
	// eraShift is the position of the era in a version, and versionMask covers the version within an era below it. Versions of a later era
	// are thereby higher, although the platform gives the same ones out again.
	eraShift    = 40
	versionMask = 1<<eraShift - 1
)

// withEra returns a version of the platform with the era of the answer that told it.
func withEra(era, version uint64) uint64 { return era<<eraShift | version&versionMask }

// eraOf returns the era of a version, and plain the version within it, as the platform knows it.
func eraOf(version uint64) uint64 { return version >> eraShift }
func plain(version uint64) uint64 { return version & versionMask }

// readEra returns the era of an answer, the latest known one if it does not say it, and remembers it.
func (s *Storer) readEra(h http.Header) uint64 {
	latest := s.era.Load()
	era, err := strconv.ParseUint(h.Get(headerEra), 10, 64-eraShift)
	if err != nil {
		return latest
	}
	for ; era > latest && !s.era.CompareAndSwap(latest, era); latest = s.era.Load() {
	}
	return era
}

// after returns the version after which to watch: none if the known one is of another era, so that the answer comes at once.
func (s *Storer) after(known uint64) uint64 {
	if eraOf(known) != s.era.Load() {
		return 0
	}
	return plain(known)
}
