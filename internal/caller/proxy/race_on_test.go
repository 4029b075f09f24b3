//go:build race

package proxy_test

// pairStride selects every 16th pair of the matrices under the race detector,
// which makes a cell many times slower. Without the race detector every pair runs.
const pairStride = 16
