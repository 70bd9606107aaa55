// Package hostile has tests with clients that keep to no rules: the process must live, keep
// to its memory and its descriptors, and answer an ordinary request beside them. The tests
// run the program and must not run beside other load.
package hostile
