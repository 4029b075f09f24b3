// Package seed gives tests and models the seed of their random choices.
package seed

import (
	"math/rand/v2"
	"os"
	"strconv"
)

// Variable is the environment variable that sets the seed.
const Variable = "LACEWINGTALLY_SEED"

// standard is the seed when Variable is not set.
const standard = 1

// Rand returns a generator for the stream named by stream, so that parts which
// draw different amounts do not disturb each other.
func Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(Value(), stream))
}

// Value returns the seed. A Variable that is not a number counts as not set.
func Value() uint64 {
	v, err := strconv.ParseUint(os.Getenv(Variable), 10, 64)
	if err != nil {
		return standard
	}
	return v
}
