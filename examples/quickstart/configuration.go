package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"oleandersill.example/oleandersill/internal/cli"
	"oleandersill.example/oleandersill/internal/cli/command"
	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/measure/cluster"
	"oleandersill.example/oleandersill/internal/model"
)

var (
	//go:embed inventory.yaml
	inventoryYAML []byte
	//go:embed rules.yaml
	rulesYAML []byte
)

var errApply = errors.New("the configuration was not accepted")

// documents decodes the embedded inventory and rules.
func documents() (model.Inventory, model.Rules, error) {
	inv, inventoryProblems := document.DecodeInventory("inventory.yaml", inventoryYAML)
	rules, rulesProblems := document.DecodeRules("rules.yaml", rulesYAML)
	return inv, rules, append(inventoryProblems, rulesProblems...).Err()
}

// apply applies the configuration with the operators' tool. It first writes the inventory to a file, with the addresses
// that the stand-ins listen on.
func apply(ctx context.Context, c *cluster.Cluster) error {
	dir, err := os.MkdirTemp("", "quickstart")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	inventory, rules := filepath.Join(dir, "inventory.json"), filepath.Join(dir, "rules.yaml")
	encoded, err := json.MarshalIndent(c.Inventory(), "", "  ")
	if err != nil {
		return err
	}
	if err := errors.Join(write(inventory, encoded), write(rules, rulesYAML)); err != nil {
		return err
	}
	fmt.Println("$ oleandersill apply -inventory inventory.json -rules rules.yaml -expect 0 -editor quickstart -reason first")
	env := &cli.Env{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: func(name string) string {
		if name == cli.EnvToken {
			return cluster.Token
		}
		return ""
	}}
	code := cli.Run(ctx, env, []string{
		"apply", "-daemon", c.OperatorAddress(0), "-inventory", inventory, "-rules", rules,
		"-expect", "0", "-editor", "quickstart", "-reason", "first",
	}, command.All())
	fmt.Println()
	if code != cli.ExitOK {
		return errApply
	}
	return nil
}

func write(path string, data []byte) error {
	const ownerOnly = 0o600
	return os.WriteFile(path, data, ownerOnly)
}
