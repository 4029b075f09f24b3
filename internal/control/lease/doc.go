// Package lease decides who holds a duty, with epochs as fencing numbers.
package lease
