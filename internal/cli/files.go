package cli

import (
	"flag"
	"os"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Files holds the paths of the documents that a sub-command reads.
type Files struct {
	inventory string
	rules     string
}

// FileFlags declares -inventory and -rules.
func FileFlags(fs *flag.FlagSet) *Files {
	f := &Files{}
	fs.StringVar(&f.inventory, "inventory", "", "inventory `file`, YAML or JSON")
	fs.StringVar(&f.rules, "rules", "", "rules `file`, YAML or JSON")
	return f
}

// Load reads and validates both documents. The error lists the problems of both.
func (f *Files) Load() (model.Inventory, model.Rules, error) {
	inventoryData, err := ReadFile("inventory", f.inventory)
	if err != nil {
		return model.Inventory{}, model.Rules{}, err
	}
	rulesData, err := ReadFile("rules", f.rules)
	if err != nil {
		return model.Inventory{}, model.Rules{}, err
	}
	inv, inventoryProblems := document.DecodeInventory(f.inventory, inventoryData)
	rules, rulesProblems := document.DecodeRules(f.rules, rulesData)
	return inv, rules, append(inventoryProblems, rulesProblems...).Err()
}

// ReadFile reads the file at path, which is the value of the required flag flagName.
func ReadFile(flagName, path string) ([]byte, error) {
	if path == "" {
		return nil, Failf(ExitUsage, "-%s is required", flagName)
	}
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, Failf(ExitUsage, "%s", err)
	}
	return data, nil
}

// ProblemList is the result of a validation, as it is printed as JSON or YAML.
type ProblemList struct {
	Valid    bool                `json:"valid"`
	Problems validation.Problems `json:"problems"`
}
