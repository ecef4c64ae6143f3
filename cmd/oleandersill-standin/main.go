// Command oleandersill-standin serves stand-ins for the platform and for the backend servers of an inventory.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"

	"go.yaml.in/yaml/v3"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/standin/backendserver"
	"oleandersill.example/oleandersill/internal/standin/platformserver"
)

const (
	serviceTime   = 4 * time.Millisecond
	itemsPerShard = 200
	headerTimeout = 5 * time.Second
)

func main() {
	platformAddress := flag.String("platform", "127.0.0.1:7000", "address of the platform stand-in")
	inventory := flag.String("inventory", "", "path of the inventory whose servers are served")
	flag.Parse()
	if err := run(*platformAddress, *inventory); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(platformAddress, inventoryPath string) error {
	data, err := os.ReadFile(inventoryPath) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	var inv model.Inventory
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&inv); err != nil {
		return err
	}
	failed := make(chan error)
	serve(platformAddress, platformserver.New(), failed)
	for _, svc := range inv.Services {
		for _, sh := range svc.Shards {
			for _, srv := range sh.Servers {
				serve(srv.Address, backendserver.New(backendserver.Config{
					Shard: sh.Name, Epoch: svc.ShardMapEpoch, Version: 1, Slots: srv.Slots,
					ServiceTime: serviceTime, Items: itemsPerShard,
				}), failed)
			}
		}
	}
	return <-failed
}

func serve(address string, h http.Handler, failed chan<- error) {
	srv := &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout}
	go func() { failed <- srv.ListenAndServe() }()
}
