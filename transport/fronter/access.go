package fronter

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/kingcupstile/kingcupstile/state/catalog"
)

// access is a request's service and what the service grants to the account that sent the request.
type access struct {
	service catalog.Service
	grant   catalog.Grant
	// keyHash is the SHA-256 of the account's key in hexadecimal.
	keyHash string
	// catalogVersion is the version of the configuration that gave the access.
	catalogVersion uint64
}

// authorize finds the request's account and service, or answers the request with a refusal and returns false.
func (f *Fronter) authorize(c echo.Context) (access, bool, error) {
	snapshot := f.snapshot()
	if snapshot.Catalog().Version() == 0 {
		c.Response().Header().Set(echo.HeaderRetryAfter, "1")
		return access{}, false, f.refuse(c, http.StatusServiceUnavailable, "starting", "no configuration is in force here yet")
	}
	account, hash, known := account(c, snapshot.Catalog())
	if !known {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
		return access{}, false, f.refuse(c, http.StatusUnauthorized, "account", "the Authorization header names no client account")
	}
	service, exists := snapshot.Catalog().Service(c.Param("service"))
	grant, granted := service.Grant(account.Name())
	if !exists || !granted {
		return access{}, false, f.refuse(c, http.StatusNotFound, "service", "no such service for this client account")
	}
	return access{service: service, grant: grant, keyHash: hash, catalogVersion: snapshot.Catalog().Version()}, true, nil
}

// isWithdrawn reports whether a later configuration no longer grants the service to the account, or no longer has the
// key for the account.
func (a access) isWithdrawn(now catalog.Catalog) bool {
	if now.Version() == a.catalogVersion {
		return false
	}
	account, known := now.AccountByHash(a.keyHash)
	service, exists := now.Service(a.service.Name())
	_, granted := service.Grant(a.grant.Account())
	return !known || account.Name() != a.grant.Account() || !exists || !granted
}

// account returns the client account whose key the request carries as a bearer token, and the key's hash; known is
// false if there is no such account.
func account(c echo.Context, in catalog.Catalog) (a catalog.Account, hash string, known bool) {
	token, bearer := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	hash = hex.EncodeToString(sum[:])
	a, known = in.AccountByHash(hash)
	return a, hash, known && bearer
}
