package document

import (
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// DecodeInventory decodes and validates an inventory written as YAML or JSON. file names the source in problems.
func DecodeInventory(file string, data []byte) (model.Inventory, validation.Problems) {
	var inv model.Inventory
	positions, problems := validation.Decode(file, data, &inv)
	return inv, validation.Combine(problems, positions.Locate(ValidateInventory(inv)))
}

// DecodeRules decodes and validates rules written as YAML or JSON. file names the source in problems.
func DecodeRules(file string, data []byte) (model.Rules, validation.Problems) {
	var rules model.Rules
	positions, problems := validation.Decode(file, data, &rules)
	return rules, validation.Combine(problems, positions.Locate(ValidateRules(rules)))
}

// Validate returns every problem of a configuration. The file of a problem is "inventory" or "rules", depending on which of
// them has the field.
func Validate(inv model.Inventory, rules model.Rules) validation.Problems {
	problems := ValidateInventory(inv)
	for i := range problems {
		problems[i].File = "inventory"
	}
	rulesProblems := ValidateRules(rules)
	for i := range rulesProblems {
		rulesProblems[i].File = "rules"
	}
	return append(problems, rulesProblems...)
}
