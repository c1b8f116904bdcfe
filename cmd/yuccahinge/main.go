// Command yuccahinge serves the query tier on an entry host and gives operators their tools.
package main

func main() {}
