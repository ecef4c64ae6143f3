// Command oleandersill is the operators' tool.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"go.yaml.in/yaml/v3"

	"oleandersill.example/oleandersill/internal/command/commandhttp"
)

func main() {
	if len(os.Args) < 2 || os.Args[1] != "apply" {
		fmt.Fprintln(os.Stderr, "usage: oleandersill apply -inventory FILE -rules FILE")
		os.Exit(2)
	}
	if err := apply(os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func apply(args []string) error {
	fs := flag.NewFlagSet("apply", flag.ExitOnError)
	address := fs.String("daemon", "127.0.0.1:7202", "a daemon's operators' address")
	inventory := fs.String("inventory", "", "inventory file")
	rules := fs.String("rules", "", "rules file")
	if err := fs.Parse(args); err != nil {
		return err
	}
	req := commandhttp.ApplyRequest{Editor: os.Getenv("USER"), Reason: "apply"}
	if err := decode(*inventory, &req.Inventory); err != nil {
		return err
	}
	if err := decode(*rules, &req.Rules); err != nil {
		return err
	}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost,
		"http://"+*address+"/v1/config/apply", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(os.Stdout, resp.Body)
	return err
}

func decode(path string, into any) error {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	return dec.Decode(into)
}
