// Package endtoend holds tests that run the daemons and the stand-ins as
// processes, and kill, freeze and cut them.
package endtoend
