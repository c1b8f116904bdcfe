// Package yuccahinge declares the ids, units, messages and interfaces that the packages of the query tier share.
//
// The package has no behaviour beyond formatting. The packages below it are of two kinds: deterministic
// state machines that make the decisions and take the time as an argument, and packages that own the
// sockets and goroutines. They are connected through the interfaces declared here.
package yuccahinge
