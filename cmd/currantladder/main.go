// Command currantladder serves models that span several hosts.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "currantladder: no command given")
	os.Exit(2)
}
