// Command control is part of galenalock.
package main

func main() {}
