//go:build !race

package proxy_test

// pairStride of 1 runs every pair of the matrices.
const pairStride = 1
