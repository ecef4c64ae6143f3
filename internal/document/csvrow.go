package document

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// csvRow is one row of an export, which describes one server.
type csvRow struct {
	im     *csvImport
	line   int
	record []string
}

func (r csvRow) has(c Column) bool {
	_, ok := r.im.columnIndex[c]
	return ok
}

func (r csvRow) text(c Column) string {
	i, ok := r.im.columnIndex[c]
	if !ok {
		return ""
	}
	return strings.TrimSpace(r.record[i])
}

func (r csvRow) integer(c Column) int {
	v, err := strconv.Atoi(r.text(c))
	if err != nil {
		r.im.addProblem(r.line, validation.KindWrongType, string(c), "a whole number", "is %q", r.text(c))
	}
	return v
}

func (r csvRow) decimal(c Column) float64 {
	v, err := strconv.ParseFloat(r.text(c), 64)
	if err != nil {
		r.im.addProblem(r.line, validation.KindWrongType, string(c), "a number", "is %q", r.text(c))
	}
	return v
}

func (r csvRow) boolean(c Column) bool {
	switch strings.ToLower(r.text(c)) {
	case "true", "yes", "1":
		return true
	case "false", "no", "0", "":
		return false
	}
	r.im.addProblem(r.line, validation.KindWrongType, string(c), "true, yes, 1, false, no, 0 or empty", "is %q", r.text(c))
	return false
}

func (im *csvImport) addRow(r csvRow) {
	im.addZone(r)
	i := im.serviceIndex(r)
	j := im.shardIndex(r, i)
	shard := &im.inventory.Services[i].Shards[j]
	im.lines[fmt.Sprintf("services[%d].shards[%d].servers[%d]", i, j, len(shard.Servers))] = r.line
	shard.Servers = append(shard.Servers, model.ServerSpec{
		Name:             model.ServerName(r.text(ColumnServer)),
		Address:          r.text(ColumnAddress),
		Zone:             model.AvailabilityZone(r.text(ColumnZone)),
		Slots:            r.integer(ColumnSlots),
		Connections:      r.integer(ColumnConnections),
		ConnectionCostMs: r.decimal(ColumnConnectionCostMs),
		Leaving:          r.boolean(ColumnLeaving),
	})
}

// addZone adds the row's zone if it is new.
func (im *csvImport) addZone(r csvRow) {
	zone := model.ZoneSpec{Name: model.AvailabilityZone(r.text(ColumnZone)), Region: model.Region(r.text(ColumnRegion))}
	i := slices.IndexFunc(im.inventory.Zones, func(z model.ZoneSpec) bool { return z.Name == zone.Name })
	if i < 0 {
		im.lines[fmt.Sprintf("zones[%d]", len(im.inventory.Zones))] = r.line
		im.inventory.Zones = append(im.inventory.Zones, zone)
		return
	}
	im.checkConsistent(r, ColumnRegion, string(im.inventory.Zones[i].Region), string(zone.Region))
}

// serviceIndex returns the index of the row's service in the inventory, and adds the service if it is new.
func (im *csvImport) serviceIndex(r csvRow) int {
	name := model.ServiceName(r.text(ColumnService))
	epoch := 1
	if r.has(ColumnEpoch) {
		epoch = r.integer(ColumnEpoch)
	}
	services := im.inventory.Services
	i := slices.IndexFunc(services, func(s model.ServiceSpec) bool { return s.Name == name })
	if i >= 0 {
		im.checkConsistent(r, ColumnEpoch, fmt.Sprint(services[i].ShardMapEpoch), strconv.Itoa(epoch))
		return i
	}
	im.lines[fmt.Sprintf("services[%d]", len(services))] = r.line
	im.inventory.Services = append(services, model.ServiceSpec{
		Name: name, ShardMapEpoch: model.ShardMapEpoch(max(0, epoch)),
	})
	return len(services)
}

// shardIndex returns the index of the row's shard in the service at the given index, and adds the shard if it is new.
func (im *csvImport) shardIndex(r csvRow, service int) int {
	sh := model.ShardSpec{Name: model.ShardName(r.text(ColumnShard))}
	if r.has(ColumnKeyFrom) {
		sh.KeyFrom, sh.KeyTo = r.integer(ColumnKeyFrom), r.integer(ColumnKeyTo)
	}
	svc := &im.inventory.Services[service]
	i := slices.IndexFunc(svc.Shards, func(s model.ShardSpec) bool { return s.Name == sh.Name })
	if i >= 0 {
		im.checkConsistent(r, ColumnKeyFrom, strconv.Itoa(svc.Shards[i].KeyFrom), strconv.Itoa(sh.KeyFrom))
		im.checkConsistent(r, ColumnKeyTo, strconv.Itoa(svc.Shards[i].KeyTo), strconv.Itoa(sh.KeyTo))
		return i
	}
	im.lines[fmt.Sprintf("services[%d].shards[%d]", service, len(svc.Shards))] = r.line
	svc.Shards = append(svc.Shards, sh)
	return len(svc.Shards) - 1
}

// checkConsistent reports a row whose value differs from that of an earlier row for the same zone, service or shard.
func (im *csvImport) checkConsistent(r csvRow, c Column, earlier, current string) {
	if earlier != current {
		im.addProblem(r.line, validation.KindDuplicate, string(c), earlier, "is %q, but an earlier row says %q", current, earlier)
	}
}
