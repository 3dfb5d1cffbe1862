// Command redwingshunt is the operators' command line.
package main

import _ "net"

func main() {}
