//go:build race

package endtoend

// raceFlag builds the programs with the same race setting as the tests.
const raceFlag = "-race=true"
