package document

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// Column is a field of an asset register's export, one row per server.
type Column string

// The columns. KeyFrom and KeyTo are optional together: without them the key space is divided evenly over the shards of
// each service, in the order of their first row. Epoch (default 1) and Leaving (default false) are optional.
const (
	ColumnService          Column = "service"
	ColumnEpoch            Column = "shard_map_epoch"
	ColumnShard            Column = "shard"
	ColumnKeyFrom          Column = "key_from"
	ColumnKeyTo            Column = "key_to"
	ColumnServer           Column = "server"
	ColumnAddress          Column = "address"
	ColumnZone             Column = "zone"
	ColumnRegion           Column = "region"
	ColumnSlots            Column = "slots"
	ColumnConnections      Column = "connections"
	ColumnConnectionCostMs Column = "connection_cost_ms"
	ColumnLeaving          Column = "leaving"
)

var requiredColumns = []Column{
	ColumnService, ColumnShard, ColumnServer, ColumnAddress, ColumnZone, ColumnRegion, ColumnSlots, ColumnConnections,
	ColumnConnectionCostMs,
}

var optionalColumns = []Column{ColumnEpoch, ColumnKeyFrom, ColumnKeyTo, ColumnLeaving}

// CSVOptions tell how to read an export.
type CSVOptions struct {
	// Headers maps columns to header names of the export; a column without an entry has its own name as the header.
	// Headers of the export that no column uses are ignored.
	Headers map[Column]string
	// Separator between fields; 0 means a comma.
	Separator rune
	// MaxInstances and SurgeInstances are not in an asset register and are taken into the inventory as they are.
	MaxInstances   int
	SurgeInstances int
}

// ImportCSV reads an export and checks the inventory that results. file names the source in problems.
func ImportCSV(file string, data []byte, o CSVOptions) (model.Inventory, validation.Problems) {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	r.TrimLeadingSpace = true
	if o.Separator != 0 {
		r.Comma = o.Separator
	}
	im := &csvImport{
		options: o, index: map[Column]int{}, lines: map[string]int{},
		inventory: model.Inventory{MaxInstances: o.MaxInstances, SurgeInstances: o.SurgeInstances},
	}
	im.read(r)
	if len(im.problems) == 0 {
		im.finish()
	}
	for i := range im.problems {
		im.problems[i].File = file
	}
	return im.inventory, im.problems
}

type csvImport struct {
	options   CSVOptions
	index     map[Column]int
	inventory model.Inventory
	problems  validation.Problems
	// lines holds the line of each field path of the inventory that a row made.
	lines map[string]int
}

func (im *csvImport) read(r *csv.Reader) {
	header, err := r.Read()
	if err != nil {
		im.syntax(r, err)
		return
	}
	im.readHeader(header)
	if len(im.problems) > 0 {
		return
	}
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil && !errors.Is(err, csv.ErrFieldCount) {
			im.syntax(r, err)
			return
		}
		line, _ := r.FieldPos(0)
		if err != nil {
			im.add(line, validation.KindSyntax, "", strconv.Itoa(len(header)), "the row has %d fields", len(record))
			continue
		}
		im.addRow(csvRow{im: im, line: line, record: record})
	}
}

func (im *csvImport) readHeader(header []string) {
	for _, c := range slices.Concat(requiredColumns, optionalColumns) {
		name := string(c)
		if mapped := im.options.Headers[c]; mapped != "" {
			name = mapped
		}
		at := slices.IndexFunc(header, func(h string) bool { return strings.TrimSpace(h) == name })
		if at >= 0 {
			im.index[c] = at
			continue
		}
		if slices.Contains(requiredColumns, c) || im.options.Headers[c] != "" {
			im.add(1, validation.KindMissing, string(c), strings.Join(header, ", "), "there is no header %q", name)
		}
	}
	_, from := im.index[ColumnKeyFrom]
	_, to := im.index[ColumnKeyTo]
	if from != to {
		im.add(1, validation.KindMissing, string(ColumnKeyFrom), "", "key_from and key_to are only valid together")
	}
	for _, c := range slices.Sorted(maps.Keys(im.options.Headers)) {
		if !slices.Contains(requiredColumns, c) && !slices.Contains(optionalColumns, c) {
			im.add(1, validation.KindUnknownField, string(c), columnNames(), "unknown column")
		}
	}
}

func columnNames() string {
	names := make([]string, 0, len(requiredColumns)+len(optionalColumns))
	for _, c := range slices.Concat(requiredColumns, optionalColumns) {
		names = append(names, string(c))
	}
	return strings.Join(names, ", ")
}

func (im *csvImport) finish() {
	if _, ok := im.index[ColumnKeyFrom]; !ok {
		divideKeySpace(im.inventory.Services)
	}
	im.problems = ValidateInventory(im.inventory)
	for i := range im.problems {
		im.problems[i].Line = im.lineOf(im.problems[i].Field)
	}
}

func (im *csvImport) lineOf(field string) int {
	for field != "" {
		if line, ok := im.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}

// divideKeySpace gives the shards of each service even key ranges.
func divideKeySpace(services []model.ServiceSpec) {
	for i := range services {
		shards := services[i].Shards
		for j := range shards {
			shards[j].KeyFrom = model.KeySpace * j / len(shards)
			shards[j].KeyTo = model.KeySpace * (j + 1) / len(shards)
		}
	}
}

func (im *csvImport) syntax(r *csv.Reader, err error) {
	line := 1
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		line, err = parse.Line, parse.Err
	}
	if errors.Is(err, io.EOF) {
		im.add(line, validation.KindMissing, "", "", "the document is empty")
		return
	}
	im.add(line, validation.KindSyntax, "", "", "%s at byte %d", err, r.InputOffset())
}

func (im *csvImport) add(line int, kind validation.Kind, field, allowed, format string, args ...any) {
	im.problems.Add(kind, field, allowed, format, args...)
	im.problems[len(im.problems)-1].Line = line
}
