// Command size prints the heap memory of the components of an entry host at several sizes as a Markdown table.
package main

import (
	"fmt"
	"os"

	"github.com/yuccahinge/yuccahinge/internal/trial/bench/size"
)

func main() {
	fmt.Println("| part | unit | measured | bytes a unit |")
	fmt.Println("|---|---|---|---|")
	for _, c := range size.Components() {
		l := c.Measure()
		l.Print(os.Stdout)
	}
}
