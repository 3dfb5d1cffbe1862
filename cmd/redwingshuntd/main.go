// Command redwingshuntd is one instance of the router fleet.
package main

import _ "net"

func main() {}
