package document

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/validation"
)

// csvRow is one row of an export: one server.
type csvRow struct {
	im     *csvImport
	line   int
	record []string
}

func (r csvRow) has(c Column) bool {
	_, ok := r.im.index[c]
	return ok
}

func (r csvRow) text(c Column) string {
	i, ok := r.im.index[c]
	if !ok {
		return ""
	}
	return strings.TrimSpace(r.record[i])
}

func (r csvRow) number(c Column) int {
	v, err := strconv.Atoi(r.text(c))
	if err != nil {
		r.im.add(r.line, validation.KindWrongType, string(c), "a whole number", "is %q", r.text(c))
	}
	return v
}

func (r csvRow) decimal(c Column) float64 {
	v, err := strconv.ParseFloat(r.text(c), 64)
	if err != nil {
		r.im.add(r.line, validation.KindWrongType, string(c), "a number", "is %q", r.text(c))
	}
	return v
}

func (r csvRow) flag(c Column) bool {
	switch strings.ToLower(r.text(c)) {
	case "true", "yes", "1":
		return true
	case "false", "no", "0", "":
		return false
	}
	r.im.add(r.line, validation.KindWrongType, string(c), "true, yes, 1, false, no, 0 or empty", "is %q", r.text(c))
	return false
}

func (im *csvImport) addRow(r csvRow) {
	im.addZone(r)
	i := im.service(r)
	j := im.shard(r, i)
	shard := &im.inventory.Services[i].Shards[j]
	im.lines[fmt.Sprintf("services[%d].shards[%d].servers[%d]", i, j, len(shard.Servers))] = r.line
	shard.Servers = append(shard.Servers, model.ServerSpec{
		Name:             model.ServerName(r.text(ColumnServer)),
		Address:          r.text(ColumnAddress),
		Zone:             model.AvailabilityZone(r.text(ColumnZone)),
		Slots:            r.number(ColumnSlots),
		Connections:      r.number(ColumnConnections),
		ConnectionCostMs: r.decimal(ColumnConnectionCostMs),
		Leaving:          r.flag(ColumnLeaving),
	})
}

func (im *csvImport) addZone(r csvRow) {
	zone := model.ZoneSpec{Name: model.AvailabilityZone(r.text(ColumnZone)), Region: model.Region(r.text(ColumnRegion))}
	at := slices.IndexFunc(im.inventory.Zones, func(z model.ZoneSpec) bool { return z.Name == zone.Name })
	if at < 0 {
		im.lines[fmt.Sprintf("zones[%d]", len(im.inventory.Zones))] = r.line
		im.inventory.Zones = append(im.inventory.Zones, zone)
		return
	}
	im.agree(r, ColumnRegion, string(im.inventory.Zones[at].Region), string(zone.Region))
}

func (im *csvImport) service(r csvRow) int {
	name := model.ServiceName(r.text(ColumnService))
	epoch := 1
	if r.has(ColumnEpoch) {
		epoch = r.number(ColumnEpoch)
	}
	services := im.inventory.Services
	at := slices.IndexFunc(services, func(s model.ServiceSpec) bool { return s.Name == name })
	if at >= 0 {
		im.agree(r, ColumnEpoch, fmt.Sprint(services[at].ShardMapEpoch), strconv.Itoa(epoch))
		return at
	}
	im.lines[fmt.Sprintf("services[%d]", len(services))] = r.line
	im.inventory.Services = append(services, model.ServiceSpec{
		Name: name, ShardMapEpoch: model.ShardMapEpoch(max(0, epoch)),
	})
	return len(services)
}

func (im *csvImport) shard(r csvRow, service int) int {
	sh := model.ShardSpec{Name: model.ShardName(r.text(ColumnShard))}
	if r.has(ColumnKeyFrom) {
		sh.KeyFrom, sh.KeyTo = r.number(ColumnKeyFrom), r.number(ColumnKeyTo)
	}
	svc := &im.inventory.Services[service]
	at := slices.IndexFunc(svc.Shards, func(s model.ShardSpec) bool { return s.Name == sh.Name })
	if at >= 0 {
		im.agree(r, ColumnKeyFrom, strconv.Itoa(svc.Shards[at].KeyFrom), strconv.Itoa(sh.KeyFrom))
		im.agree(r, ColumnKeyTo, strconv.Itoa(svc.Shards[at].KeyTo), strconv.Itoa(sh.KeyTo))
		return at
	}
	im.lines[fmt.Sprintf("services[%d].shards[%d]", service, len(svc.Shards))] = r.line
	svc.Shards = append(svc.Shards, sh)
	return len(svc.Shards) - 1
}

// agree reports rows that say different things about one zone, service or shard.
func (im *csvImport) agree(r csvRow, c Column, earlier, now string) {
	if earlier != now {
		im.add(r.line, validation.KindDuplicate, string(c), earlier, "is %q, but an earlier row says %q", now, earlier)
	}
}
