package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
)

// maxShownBytes is the length above which Difference.String truncates a value.
const maxShownBytes = 120

// Difference is a field or a list item that differs between two configurations.
type Difference struct {
	// Field is a path that identifies list items by name, for example inventory.services[search].shards[s0].key_to.
	Field string `json:"field"`
	// Before and After are the values as JSON, empty on the side on which a list item does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the difference on one line, starting with + (added), - (removed) or ~ (changed).
func (d Difference) String() string {
	before, after := truncate(d.Before), truncate(d.After)
	switch {
	case d.Before == "":
		return "+ " + d.Field + ": " + after
	case d.After == "":
		return "- " + d.Field + ": " + before
	}
	return "~ " + d.Field + ": " + before + " -> " + after
}

// truncate shortens a long value, such as a whole service or shard, so that it fits on a line.
func truncate(value string) string {
	if len(value) <= maxShownBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownBytes], "") + "..."
}

// Diff returns the differences between two configurations, in document order. A list item that exists on one side only is
// one difference. List items are matched by name, in any order.
func Diff(inv model.Inventory, rules model.Rules, nextInv model.Inventory, nextRules model.Rules) []Difference {
	d := differ{differences: []Difference{}}
	d.compare("inventory", reflect.ValueOf(inv), reflect.ValueOf(nextInv))
	d.compare("rules", reflect.ValueOf(rules), reflect.ValueOf(nextRules))
	return d.differences
}

type differ struct{ differences []Difference }

func (d *differ) compare(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			d.compare(path+"."+name, a.Field(i), b.Field(i))
		}
	case reflect.Slice:
		d.compareList(path, a, b)
	default:
		if !a.Equal(b) {
			d.differences = append(d.differences, Difference{Field: path, Before: jsonText(a), After: jsonText(b)})
		}
	}
}

func (d *differ) compareList(path string, a, b reflect.Value) {
	after := itemsByName(b)
	before := itemsByName(a)
	for i := range a.Len() {
		name := nameOf(a.Index(i))
		field := fmt.Sprintf("%s[%s]", path, name)
		if next, ok := after[name]; ok {
			d.compare(field, a.Index(i), next)
			continue
		}
		d.differences = append(d.differences, Difference{Field: field, Before: jsonText(a.Index(i))})
	}
	for i := range b.Len() {
		if name := nameOf(b.Index(i)); !before[name].IsValid() {
			d.differences = append(d.differences, Difference{Field: fmt.Sprintf("%s[%s]", path, name), After: jsonText(b.Index(i))})
		}
	}
}

func itemsByName(list reflect.Value) map[string]reflect.Value {
	items := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		items[nameOf(list.Index(i))] = list.Index(i)
	}
	return items
}

// nameOf returns the first field of a list item, which is its name in every list of the inventory and the rules.
func nameOf(item reflect.Value) string { return item.Field(0).String() }

func jsonText(v reflect.Value) string {
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(data)
}
