// Package endtoend contains tests that run the daemons and the stand-ins as
// processes and kill, freeze and disconnect them.
package endtoend
