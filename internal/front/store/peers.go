package store

import (
	"context"
	"net/netip"
)

// peersKey is the key of WithPeers.
type peersKey struct{}

// WithPeers returns a context for calls that may pass only through the peers that allowed accepts,
// while the store can't be reached directly.
func WithPeers(ctx context.Context, allowed func(netip.AddrPort) bool) context.Context {
	return context.WithValue(ctx, peersKey{}, allowed)
}

// MayPass reports whether a call with a context may pass through a peer.
func MayPass(ctx context.Context, peer netip.AddrPort) bool {
	allowed, ok := ctx.Value(peersKey{}).(func(netip.AddrPort) bool)
	return !ok || allowed(peer)
}
