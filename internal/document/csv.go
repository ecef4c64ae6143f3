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

// Column is a column of an asset register's CSV export, which has one row per server.
type Column string

// The columns. ColumnKeyFrom and ColumnKeyTo are optional, but only valid together: without them the key space is divided
// evenly among the shards of each service, in the order of their first rows. ColumnEpoch (default 1) and ColumnLeaving
// (default false) are optional too.
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

// CSVOptions are the options of ImportCSV.
type CSVOptions struct {
	// Headers maps columns to header names of the export; a column without an entry has its own name as the header.
	// Headers of the export that no column uses are ignored.
	Headers map[Column]string
	// Separator is the character between fields; 0 means a comma.
	Separator rune
	// MaxInstances and SurgeInstances are copied into the inventory, since an asset register does not have them.
	MaxInstances   int
	SurgeInstances int
}

// ImportCSV reads an export and validates the resulting inventory. file names the source in problems.
func ImportCSV(file string, data []byte, o CSVOptions) (model.Inventory, validation.Problems) {
	r := csv.NewReader(bytes.NewReader(bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))))
	r.TrimLeadingSpace = true
	if o.Separator != 0 {
		r.Comma = o.Separator
	}
	im := &csvImport{
		options: o, columnIndex: map[Column]int{}, lines: map[string]int{},
		inventory: model.Inventory{MaxInstances: o.MaxInstances, SurgeInstances: o.SurgeInstances},
	}
	im.read(r)
	if len(im.problems) == 0 {
		im.validate()
	}
	for i := range im.problems {
		im.problems[i].File = file
	}
	return im.inventory, im.problems
}

// csvImport is the state of one import.
type csvImport struct {
	options CSVOptions
	// columnIndex holds the position of each column in a row.
	columnIndex map[Column]int
	inventory   model.Inventory
	problems    validation.Problems
	// lines maps the path of each list item of the inventory to the line of the row that added it.
	lines map[string]int
}

func (im *csvImport) read(r *csv.Reader) {
	header, err := r.Read()
	if err != nil {
		im.addSyntaxProblem(r, err)
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
			im.addSyntaxProblem(r, err)
			return
		}
		line, _ := r.FieldPos(0)
		if err != nil {
			im.addProblem(line, validation.KindSyntax, "", strconv.Itoa(len(header)), "the row has %d fields", len(record))
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
		i := slices.IndexFunc(header, func(h string) bool { return strings.TrimSpace(h) == name })
		if i >= 0 {
			im.columnIndex[c] = i
			continue
		}
		if slices.Contains(requiredColumns, c) || im.options.Headers[c] != "" {
			im.addProblem(1, validation.KindMissing, string(c), strings.Join(header, ", "), "there is no header %q", name)
		}
	}
	_, from := im.columnIndex[ColumnKeyFrom]
	_, to := im.columnIndex[ColumnKeyTo]
	if from != to {
		im.addProblem(1, validation.KindMissing, string(ColumnKeyFrom), "", "key_from and key_to are only valid together")
	}
	for _, c := range slices.Sorted(maps.Keys(im.options.Headers)) {
		if !slices.Contains(requiredColumns, c) && !slices.Contains(optionalColumns, c) {
			im.addProblem(1, validation.KindUnknownField, string(c), columnNames(), "unknown column")
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

// validate fills in missing key ranges and validates the inventory that was read.
func (im *csvImport) validate() {
	if _, ok := im.columnIndex[ColumnKeyFrom]; !ok {
		divideKeySpace(im.inventory.Services)
	}
	im.problems = ValidateInventory(im.inventory)
	for i := range im.problems {
		im.problems[i].Line = im.lineOf(im.problems[i].Field)
	}
}

// lineOf returns the line of the row that added a field or the nearest list item around it, or 0.
func (im *csvImport) lineOf(field string) int {
	for field != "" {
		if line, ok := im.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}

// divideKeySpace divides the key space evenly among the shards of each service.
func divideKeySpace(services []model.ServiceSpec) {
	for i := range services {
		shards := services[i].Shards
		for j := range shards {
			shards[j].KeyFrom = model.KeySpace * j / len(shards)
			shards[j].KeyTo = model.KeySpace * (j + 1) / len(shards)
		}
	}
}

func (im *csvImport) addSyntaxProblem(r *csv.Reader, err error) {
	line := 1
	var parseErr *csv.ParseError
	if errors.As(err, &parseErr) {
		line, err = parseErr.Line, parseErr.Err
	}
	if errors.Is(err, io.EOF) {
		im.addProblem(line, validation.KindMissing, "", "", "the document is empty")
		return
	}
	im.addProblem(line, validation.KindSyntax, "", "", "%s at byte %d", err, r.InputOffset())
}

func (im *csvImport) addProblem(line int, kind validation.Kind, field, allowed, format string, args ...any) {
	im.problems.Add(kind, field, allowed, format, args...)
	im.problems[len(im.problems)-1].Line = line
}
