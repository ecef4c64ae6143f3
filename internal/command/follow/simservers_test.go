package follow_test

import (
	"time"

	"oleandersill.example/oleandersill/internal/model"
)

// firstStart is when the first run of each server started, in milliseconds.
const firstStart int64 = 1_000_000

// register writes a server's entry. A server that has announced that it leaves ends, so an entry that does not say so is of another run,
// which states a later start.
func (sim *simulation) register(name model.ServerName, leaving bool) {
	sim.sequence++
	if sim.announcedLeave[name] && !leaving {
		sim.starts[name]++
	}
	sim.announcedLeave[name] = leaving
	sim.entries[name] = &model.Registration{
		Name: name, Service: service, Address: "a:1", Zone: "z0", Slots: 2, Leaving: leaving, WarmUp: time.Duration(sim.sequence),
		Started: firstStart + sim.starts[name],
	}
	delete(sim.joinedAt, name)
	delete(sim.leftAt, name)
	sim.writeServer(name)
}

func (sim *simulation) remove(name model.ServerName) {
	sim.entries[name] = nil
	delete(sim.joinedAt, name)
	sim.writeServer(name)
}

// writeServer writes or removes a server's entry. The time limits count from the first time.
func (sim *simulation) writeServer(name model.ServerName) {
	entry, since := sim.entries[name], sim.leftAt
	if entry == nil {
		sim.store.remove(name)
	} else {
		sim.store.register(*entry)
		if !entry.Leaving {
			since = sim.joinedAt
		}
	}
	if _, ok := since[name]; !ok {
		since[name] = time.Now()
	}
}
