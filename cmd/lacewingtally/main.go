// Command lacewingtally is the daemon and its command line.
package main

func main() {}
