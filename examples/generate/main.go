// Command generate writes the example inventories and the example export of an asset register. Run it from the root of
// the repository after changing customers.go:
//
//	go run ./examples/generate
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const fileMode = 0o600

func main() {
	for _, c := range customers() {
		if err := write(c); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func write(c customer) error {
	for name, data := range c.files() {
		if err := os.WriteFile(filepath.Join("examples", c.name, name), data, fileMode); err != nil {
			return err
		}
	}
	return nil
}
