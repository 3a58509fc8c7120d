// Command galenactl is part of galenalock.
package main

func main() {}
