package document

import (
	"slices"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// DecodeInventory decodes and checks an inventory written as YAML or JSON. file names the source in problems.
func DecodeInventory(file string, data []byte) (model.Inventory, validation.Problems) {
	var inv model.Inventory
	positions, problems := validation.Decode(file, data, &inv)
	return inv, merge(problems, positions.Locate(ValidateInventory(inv)))
}

// DecodeRules decodes and checks rules written as YAML or JSON. file names the source in problems.
func DecodeRules(file string, data []byte) (model.Rules, validation.Problems) {
	var rules model.Rules
	positions, problems := validation.Decode(file, data, &rules)
	return rules, merge(problems, positions.Locate(ValidateRules(rules)))
}

// Validate returns every problem of a configuration. Fields of the rules are marked by the file name "rules", those of
// the inventory by "inventory".
func Validate(inv model.Inventory, rules model.Rules) validation.Problems {
	problems := ValidateInventory(inv)
	for i := range problems {
		problems[i].File = "inventory"
	}
	ofRules := ValidateRules(rules)
	for i := range ofRules {
		ofRules[i].File = "rules"
	}
	return append(problems, ofRules...)
}

// merge appends the problems of values, except of fields that could not be decoded: their values are meaningless.
func merge(decoding, values validation.Problems) validation.Problems {
	undecoded := map[string]bool{}
	for _, p := range decoding {
		undecoded[p.Field] = true
		if p.Kind == validation.KindSyntax || p.Field == "" {
			return decoding
		}
	}
	values = slices.DeleteFunc(values, func(p validation.Problem) bool { return undecoded[p.Field] })
	all := append(decoding, values...)
	slices.SortStableFunc(all, func(a, b validation.Problem) int { return a.Line - b.Line })
	return all
}
