//go:build race

package endtoend

// raceFlag builds the programs as the tests were built.
const raceFlag = "-race=true"
