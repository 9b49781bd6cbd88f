package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/kingcupstile/kingcupstile/state/fault"
)

// Kind classifies the errors of calls without a complete successful answer.
type Kind string

// The kinds of failure.
const (
	// KindUnreachable says that the request got no response header.
	KindUnreachable Kind = "unreachable"
	// KindRefused says that the answer's status was an error or that the request could not be built.
	KindRefused Kind = "refused"
	// KindCut says that the answer was truncated or malformed.
	KindCut Kind = "cut"
)

// Error is a call without a complete successful answer.
type Error = fault.Error[Kind]

// OutcomeHeader is the header or trailer in which an entry reports the outcome of a request, such as ran or unknown.
const OutcomeHeader = "Kingcup-Outcome"

// Caller calls services, authenticating with a client account's key.
type Caller struct {
	key    string
	client *http.Client
}

// New returns a caller that sends a client account's key as bearer token.
func New(key string) *Caller {
	return &Caller{key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// Entries returns the addresses of the entries to use, as the entry at an address lists them.
func (c *Caller) Entries(ctx context.Context, address string) ([]string, error) {
	body, _, err := c.Call(ctx, http.MethodGet, "http://"+address+"/-/entries", nil, nil)
	if err != nil {
		return nil, err
	}
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, fault.New("read list of entries", KindCut, err)
	}
	addresses := make([]string, len(answer.Entries))
	for i, entry := range answer.Entries {
		addresses[i] = entry.Address
	}
	return addresses, nil
}

// Ticket requests an idempotency key for a service from the entry at an address.
func (c *Caller) Ticket(ctx context.Context, address, service string) (string, error) {
	body, _, err := c.Call(ctx, http.MethodPost, "http://"+address+"/-/tickets/"+url.PathEscape(service), nil, nil)
	if err != nil {
		return "", err
	}
	var answer struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return "", fault.New("read ticket", KindCut, err)
	}
	return answer.Ticket, nil
}

// Call sends one request and returns the body of the answer and its outcome. With an Error it returns what is known of
// them: for KindRefused the body and outcome of the refusal, if there was one, for KindCut the part that arrived.
func (c *Caller) Call(ctx context.Context, method, target string, header http.Header, body []byte) ([]byte, string, error) {
	response, err := c.do(ctx, method, target, header, body)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, "unknown", fault.New("call", KindCut, err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return answer, response.Header.Get(OutcomeHeader), fault.Newf("call", KindRefused, "%s: %s", response.Status, answer)
	}
	return answer, response.Trailer.Get(OutcomeHeader), nil
}

func (c *Caller) do(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New("call", KindRefused, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fault.New("call", KindUnreachable, err)
	}
	return response, nil
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// Stream sends a POST request and passes each event with data to handle until the stream ends or handle returns false.
// It returns an Error of KindCut if the stream ends without the outcome ran.
func (c *Caller) Stream(ctx context.Context, target string, header http.Header, body []byte, handle func(Event) bool) error {
	response, err := c.do(ctx, http.MethodPost, target, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		return fault.Newf("stream", KindRefused, "%s: %s", response.Status, text)
	}
	lines := bufio.NewScanner(response.Body)
	var event Event
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			event.ID = value
		case "event":
			event.Name = value
		case "data":
			event.Data = value
		case "":
			if event.Data != "" && !handle(event) {
				return nil
			}
			event = Event{}
		}
	}
	if err := lines.Err(); err != nil {
		return fault.New("stream", KindCut, err)
	}
	if outcome := response.Trailer.Get(OutcomeHeader); outcome != "ran" {
		return fault.Newf("stream", KindCut, "stream ended with outcome %q instead of ran", outcome)
	}
	return nil
}

// Hash returns the SHA-256 hash of a key in hex, as account files list it.
func Hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
