package transport

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// The least and the greatest status of a final response. net/http accepts any three digits, and
// 101 also if the request asked for no other protocol, as requests here never do.
const (
	minStatus = 200
	maxStatus = 599
)

// ErrInvalid is returned when what the peer sent is not a response in HTTP. The peer may have acted on
// the request.
var ErrInvalid = errors.New("transport: invalid response")

// validate returns an error that wraps ErrInvalid if net/http accepted a response that is none, given
// its header as it was received.
func validate(r *http.Response, h head) error {
	if h.folded {
		return errors.Wrap(ErrInvalid, "a line of the header begins with a blank")
	}
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return errors.Wrapf(ErrInvalid, "status %q", r.Status)
	}
	for name := range r.Header {
		// net/http accepts blanks in names, and no other byte that a name must not contain.
		if strings.Contains(name, " ") {
			return errors.Wrapf(ErrInvalid, "field name %q", name)
		}
	}
	return nil
}
