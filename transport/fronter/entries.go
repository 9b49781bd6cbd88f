package fronter

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// entriesAnswer lists the entries for a caller; Lifetime is in seconds.
type entriesAnswer struct {
	Entries  []entryAnswer `json:"entries"`
	Lifetime int           `json:"lifetime"`
}

type entryAnswer struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
}

const (
	// maxUngroupedEntries is the number of entries up to which each caller gets entries by its own seed.
	maxUngroupedEntries = 32
	// minGroups is the least number of groups of an account's callers; the callers of a group near one data centre use
	// the same entries.
	minGroups = 8
	// requestsPerGroup is how many requests a second of the account's limit on a service add one group.
	requestsPerGroup = 50
)

// entries answers with the addresses to use, in order of preference, and for how many seconds to keep them.
func (f *Fronter) entries(c echo.Context) error {
	centre := c.QueryParam("centre")
	if centre == "" {
		centre = f.centre
	}
	answer := f.snapshot().Entries().List(centre, f.groupSeed(c, lister.Seed()))
	body := entriesAnswer{Entries: []entryAnswer{}, Lifetime: int(answer.Lifetime().Seconds())}
	for _, vm := range answer.Entries() {
		body.Entries = append(body.Entries, entryAnswer{Address: vm.CallerAddress(), Centre: vm.Centre()})
	}
	c.Response().Header().Set(echo.HeaderCacheControl, "max-age="+strconv.Itoa(body.Lifetime))
	return c.JSON(http.StatusOK, body)
}

// groupSeed replaces a caller's seed by that of its group where there are many entries. The callers of an account then
// use few entries, so that the account's limit is divided into few shares; an account without a limit keeps its seeds.
func (f *Fronter) groupSeed(c echo.Context, seed uint64) uint64 {
	account, _, known := account(c, f.snapshot().Catalog())
	if !known || f.countEntries() <= maxUngroupedEntries {
		return seed
	}
	groups := uint64(minGroups)
	for _, service := range f.snapshot().Catalog().Services() {
		if g, granted := service.Grant(account.Name()); granted && g.Limit() == 0 {
			return seed
		} else if granted {
			groups += uint64(g.Limit() / requestsPerGroup)
		}
	}
	return xxhash.Sum64String(account.Name() + "/" + strconv.FormatUint(seed%groups, 10))
}

func (f *Fronter) countEntries() int {
	n := 0
	for _, vm := range f.snapshot().Usable().VMs() {
		if vm.Role() == roster.RoleEntry {
			n++
		}
	}
	return n
}
