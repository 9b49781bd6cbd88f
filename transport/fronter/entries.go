package fronter

import (
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/coordination/lister"
	"github.com/kingcupstile/kingcupstile/state/roster"
)

// entriesAnswer tells a caller which addresses to use.
type entriesAnswer struct {
	Entries  []entryAnswer `json:"entries"`
	Lifetime int           `json:"lifetime"`
}

type entryAnswer struct {
	Address string `json:"address"`
	Centre  string `json:"centre"`
}

const (
	// manyEntries is up to how many entries an account's callers use all of them.
	manyEntries = 32
	// minSpread is how many entries the callers of an account near one data centre use at least.
	minSpread = 8
	// limitEach is how many requests a second of an account's limit let its callers use one entry more.
	limitEach = 50
)

// entries answers with the addresses to use, in order, and for how many seconds to keep them.
func (f *Fronter) entries(c echo.Context) error {
	centre := c.QueryParam("centre")
	if centre == "" {
		centre = f.centre
	}
	answer := f.snapshot().Entries().List(centre, f.gather(c, lister.Seed()))
	body := entriesAnswer{Entries: []entryAnswer{}, Lifetime: int(answer.Lifetime().Seconds())}
	for _, vm := range answer.Entries() {
		body.Entries = append(body.Entries, entryAnswer{Address: vm.CallerAddress(), Centre: vm.Centre()})
	}
	c.Response().Header().Set(echo.HeaderCacheControl, "max-age="+strconv.Itoa(body.Lifetime))
	return c.JSON(http.StatusOK, body)
}

// gather returns one of an account's few seeds in place of a caller's own where there are many entries, so that its
// callers share entries, which then need few shares of the account's limit.
func (f *Fronter) gather(c echo.Context, seed uint64) uint64 {
	account, _, known := account(c, f.snapshot().Catalog())
	if !known || f.countEntries() <= manyEntries {
		return seed
	}
	spread := uint64(minSpread)
	for _, service := range f.snapshot().Catalog().Services() {
		if g, granted := service.Grant(account.Name()); granted && g.Limit() == 0 {
			return seed
		} else if granted {
			spread += uint64(g.Limit() / limitEach)
		}
	}
	return xxhash.Sum64String(account.Name() + "/" + strconv.FormatUint(seed%spread, 10))
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
