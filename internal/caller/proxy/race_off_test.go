//go:build !race

package proxy_test

// pairStride selects every pair of the matrices.
const pairStride = 1
