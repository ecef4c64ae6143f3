package cli

import (
	"flag"
	"os"

	"oleandersill.example/oleandersill/internal/document"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Files are the documents that a sub-command reads.
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

// Load reads and checks both documents. All problems of both are in the error.
func (f *Files) Load() (model.Inventory, model.Rules, error) {
	inventoryData, err := ReadFile("inventory", f.inventory)
	if err != nil {
		return model.Inventory{}, model.Rules{}, err
	}
	rulesData, err := ReadFile("rules", f.rules)
	if err != nil {
		return model.Inventory{}, model.Rules{}, err
	}
	inv, problems := document.DecodeInventory(f.inventory, inventoryData)
	rules, ofRules := document.DecodeRules(f.rules, rulesData)
	return inv, rules, append(problems, ofRules...).Err()
}

// ReadFile reads the file that a required flag names.
func ReadFile(name, path string) ([]byte, error) {
	if path == "" {
		return nil, Failf(ExitUsage, "-%s is required", name)
	}
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return nil, Failf(ExitUsage, "%s", err)
	}
	return data, nil
}

// ProblemList is the form in which problems are printed as JSON or YAML.
type ProblemList struct {
	Valid    bool                `json:"valid"`
	Problems validation.Problems `json:"problems"`
}
