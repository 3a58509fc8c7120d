// Command bench is part of galenalock.
package main

func main() {}
