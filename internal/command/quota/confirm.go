package quota

import (
	"context"

	"oleandersill.example/oleandersill/internal/decision/quota"
	"oleandersill.example/oleandersill/internal/model"
	"oleandersill.example/oleandersill/internal/peer"
)

// confirmAll asks each zone for its confirmation and probes the suspects, now and every quota.ConfirmInterval.
func (k *Keeper) confirmAll() {
	k.cfg.After(quota.ConfirmInterval, k.confirmAll)
	if k.cfg.Peers == nil {
		return
	}
	c := k.table.Confirmations(k.cfg.Now())
	for zone, speakers := range c.Zones {
		k.runOnce("zone "+string(zone), func() { k.confirmZone(zone, &speakers, c.Lost) })
	}
	for _, suspect := range c.Suspects {
		k.runOnce("instance "+string(suspect.Instance), func() { k.probe(&suspect) })
	}
}

// runOnce lets a worker ask a zone or member, unless an answer of it is awaited. One that does not respond occupies one worker.
func (k *Keeper) runOnce(name string, ask func()) {
	if !k.table.BeginCheck(name) {
		return
	}
	started := k.run(func() {
		defer k.table.EndCheck(name)
		ask()
	})
	if !started {
		k.table.EndCheck(name)
	}
}

// confirmZone asks a member of the zone for the zone's confirmation, and another one if the first does not respond.
func (k *Keeper) confirmZone(zone model.AvailabilityZone, speakers *quota.Choices, lost []model.Member) {
	for _, speaker := range speakers {
		if speaker == nil {
			return
		}
		sent := k.cfg.Now()
		reply, err := k.askConfirmation(speaker.Address, lost)
		if err == nil {
			k.table.RecordConfirmation(zone, reply, sent, k.cfg.Now())
			return
		}
	}
}

// probe finds out whether a suspect responds.
func (k *Keeper) probe(suspect *model.Member) {
	sent := k.cfg.Now()
	_, err := k.askConfirmation(suspect.Address, nil)
	k.table.RecordProbe(suspect.Instance, err == nil, sent, k.cfg.Now())
}

func (k *Keeper) askConfirmation(address string, lost []model.Member) (quota.Confirmation, error) {
	ctx, cancel := context.WithTimeout(context.Background(), quota.ConfirmTimeout)
	defer cancel()
	return k.cfg.Peers.ConfirmQuota(ctx, address, peer.QuotaConfirm{From: k.cfg.Self.Instance, Lost: lost})
}
