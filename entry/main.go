// Command entry is part of galenalock.
package main

func main() {}
