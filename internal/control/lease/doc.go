// Package lease decides which daemon holds a duty, with epochs as fencing
// tokens.
package lease
