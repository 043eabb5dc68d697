// Command acaciacleat-agent stands beside one upstream.
package main

func main() {}
