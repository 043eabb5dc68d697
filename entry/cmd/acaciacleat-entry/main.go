// Command acaciacleat-entry takes callers' and operators' requests.
package main

func main() {}
