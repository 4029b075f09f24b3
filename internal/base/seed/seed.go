// Package seed provides the random seed of tests and models.
package seed

import (
	"math/rand/v2"
	"os"
	"strconv"
)

// EnvVar is the environment variable that sets the seed.
const EnvVar = "LACEWINGTALLY_SEED"

// defaultSeed is the seed if EnvVar is not set.
const defaultSeed = 1

// Rand returns a random number generator for a stream. Code that draws from
// separate streams is not affected by how many numbers other code draws.
func Rand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(Value(), stream))
}

// Value returns the seed. A value of EnvVar that is not a number is ignored.
func Value() uint64 {
	v, err := strconv.ParseUint(os.Getenv(EnvVar), 10, 64)
	if err != nil {
		return defaultSeed
	}
	return v
}
