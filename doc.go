// Package yuccahinge names the ids, units, messages and interfaces that the parts of the query tier share.
//
// The package holds no behaviour beyond formatting. Decision parts in the packages below it are
// deterministic state machines that take the time as an argument, shells around them own the sockets
// and goroutines, and both meet at the interfaces declared here.
package yuccahinge
