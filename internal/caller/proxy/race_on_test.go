//go:build race

package proxy_test

// pairStride thins the pairs of the matrices under the race detector, which
// makes a cell many times slower. Without it every pair runs.
const pairStride = 16
