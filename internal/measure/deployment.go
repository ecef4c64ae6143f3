package measure

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// deployment is an inventory with its rules and the service to query.
type deployment struct {
	name      string
	inventory model.Inventory
	rules     model.Rules
	service   *model.ServiceSpec
	// commandService is the last service of the inventory with a single shard, which takes the non-idempotent requests; empty
	// if there is none.
	commandService model.ServiceName
}

func loadDeployment(name string, service model.ServiceName) (*deployment, error) {
	if name == "" {
		return nil, errors.Wrap(ErrUsage, "-deployment is required")
	}
	dir := name
	if filepath.Base(name) == name {
		dir = filepath.Join("examples", name)
	}
	d := &deployment{name: filepath.Base(name)}
	if err := d.load(filepath.Join(dir, "inventory.yaml"), filepath.Join(dir, "rules.yaml")); err != nil {
		return nil, err
	}
	for _, svc := range d.inventory.Services {
		if len(svc.Shards) == 1 {
			d.commandService = svc.Name
		}
	}
	for i := range d.inventory.Services {
		if service == "" || d.inventory.Services[i].Name == service {
			d.service = &d.inventory.Services[i]
			return d, nil
		}
	}
	return nil, errors.Wrapf(ErrUsage, "no service %q in %s", service, dir)
}

func (d *deployment) load(inventory, rules string) error {
	inventoryData, err := os.ReadFile(inventory) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Wrap(err, "measure")
	}
	rulesData, err := os.ReadFile(rules) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Wrap(err, "measure")
	}
	var problems, ruleProblems validation.Problems
	d.inventory, problems = document.DecodeInventory(inventory, inventoryData)
	d.rules, ruleProblems = document.DecodeRules(rules, rulesData)
	return append(problems, ruleProblems...).Err()
}

// capacity returns the queries per second that the service's slots sustain. The shard with the lowest capacity limits it,
// since a query needs all shards.
func capacity(service *model.ServiceSpec, meanServiceSeconds float64) float64 {
	lowest := 0.0
	for _, sh := range service.Shards {
		slots := 0
		for _, s := range sh.Servers {
			slots += s.Slots
		}
		if c := float64(slots) / meanServiceSeconds; lowest == 0 || c < lowest {
			lowest = c
		}
	}
	return lowest
}

// callers returns the callers to which the rules assign each rank. The rule for any other caller is represented by one
// unnamed caller.
func callers(rules model.Rules) [model.RankCount][]model.CallerName {
	const unnamed = "unnamed"
	var out [model.RankCount][]model.CallerName
	for _, c := range rules.Callers {
		rank, ok := model.ParseRank(c.Rank)
		if !ok {
			continue
		}
		name := c.Caller
		if name == model.AnyCaller {
			name = unnamed
		}
		out[rank] = append(out[rank], name)
	}
	return out
}
