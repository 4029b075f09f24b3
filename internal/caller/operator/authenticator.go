package operator

import (
	"context"
	"crypto/subtle"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/lacewingtally/lacewingtally/internal/control/config"
)

const (
	authorization = "Authorization"
	bearerPrefix  = "Bearer "
)

// ErrInvalidKey is returned when a request carries no key, or one that is not the
// operators' key.
var ErrInvalidKey = errors.New("operator: not the operators' key")

// authenticator returns an interceptor that admits only requests with the key that
// has the given hash. It admits none if the hash is empty.
func authenticator(keyHash string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			key, ok := strings.CutPrefix(r.Header().Get(authorization), bearerPrefix)
			if !ok || subtle.ConstantTimeCompare([]byte(config.HashKey(key)), []byte(keyHash)) != 1 {
				return nil, connect.NewError(connect.CodeUnauthenticated, ErrInvalidKey)
			}
			return next(ctx, r)
		}
	}
}
