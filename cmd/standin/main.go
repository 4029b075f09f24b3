// Command standin runs small replacements of the systems around lacewingtally, for tests and demonstrations.
package main

func main() {}
