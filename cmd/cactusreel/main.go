// Command cactusreel is under construction.
package main

func main() {}
