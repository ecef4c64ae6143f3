package forwarding

import (
	"net/http"
	"time"

	"oleandersill.example/oleandersill/internal/backend"
	"oleandersill.example/oleandersill/internal/decision/gather"
	"oleandersill.example/oleandersill/internal/model"
)

// Compact prepares the batch for sending. It stores a message that several queries share only once, and merges the replies that
// belong to the same caller's request, so that records that cannot be part of the answer are not sent between regions.
func (b *Batch) Compact() {
	b.deduplicateMessages()
	b.mergeReplies()
}

// StampDelays records in the results how long they waited to be sent, once for each result.
func (b *Batch) StampDelays(now time.Time) {
	for i := range b.Results {
		r := &b.Results[i]
		if !r.Returned.IsZero() {
			r.Delayed, r.Returned = now.Sub(r.Returned), time.Time{}
		}
	}
}

// StampDeadlines replaces the deadlines of the queries by the time that is left at now. It is called when there is a connection
// to send the batch on, which may take as long as a query has.
func (b *Batch) StampDeadlines(now time.Time) {
	for i := range b.Queries {
		q := &b.Queries[i]
		if deadline := q.Request.Deadline; !deadline.IsZero() {
			q.Left, q.Request.Deadline = deadline.Sub(now), time.Time{}
		}
		if g := q.Gather; g != nil && !g.Due.IsZero() {
			stamped := *g
			stamped.DueLeft, stamped.Due = g.Due.Sub(now), time.Time{}
			q.Gather = &stamped
		}
	}
}

// Expand reverses Compact. Each result whose reply was merged gets the merged reply, which names its shards, or
// backend.StatusOwnerLost if the merged reply is not in the batch.
func (b *Batch) Expand() {
	for i := range b.Queries {
		q := &b.Queries[i]
		if q.Message < 1 || q.Message > len(b.Messages) {
			continue
		}
		m := &b.Messages[q.Message-1]
		q.Request.Message = m
		q.Request.ID.Request = model.RequestID(m.ID)
		q.Request.Service = model.ServiceName(q.Request.Shard)
		q.Message = 0
	}
	b.Messages = nil
	replies := map[requestKey]*backend.MessageReply{}
	for i := range b.Results {
		r := &b.Results[i]
		switch m := r.Result.Reply.Message; {
		case m != nil && len(m.Shards) > 0:
			replies[keyOf(r.ID)] = m
		case r.Merged:
			r.Result.Reply.Message = replies[keyOf(r.ID)]
			if r.Result.Reply.Message == nil {
				r.Result.Status = backend.StatusOwnerLost
			}
			r.Merged = false
		}
	}
}

// deduplicateMessages moves the messages of the queries to b.Messages, and clears the fields of the queries that Expand
// restores from the message and the shard.
func (b *Batch) deduplicateMessages() {
	positions := map[*backend.Message]int{}
	for i := range b.Queries {
		q := &b.Queries[i]
		m := q.Request.Message
		if m == nil {
			continue
		}
		if positions[m] == 0 {
			b.Messages = append(b.Messages, *m)
			positions[m] = len(b.Messages)
		}
		q.Message = positions[m]
		q.Request.Message = nil
		q.Request.ID.Request = ""
		q.Request.Service = ""
	}
}

// requestKey identifies the caller's request that an attempt belongs to.
type requestKey struct {
	request     model.RequestID
	incarnation model.Incarnation
}

func keyOf(id backend.AttemptID) requestKey {
	return requestKey{request: id.Request, incarnation: id.Incarnation}
}

// mergeReplies merges the successful replies that belong to the same caller's request into the first of them. Replies that
// were merged before, for a batch that was not delivered, stay unchanged.
func (b *Batch) mergeReplies() {
	groups := map[requestKey][]*Result{}
	for i := range b.Results {
		r := &b.Results[i]
		m := r.Result.Reply.Message
		if r.Result.Status != backend.StatusOK || !m.Successful() || len(m.Shards) > 0 {
			continue
		}
		switch {
		case r.Limit > 0:
			groups[keyOf(r.ID)] = append(groups[keyOf(r.ID)], r)
		case r.TrimTo > 0:
			r.Result.Reply.Message = trimReply(m, r.TrimTo)
		}
	}
	for _, group := range groups {
		mergeGroup(group)
	}
	for i := range b.Results {
		r := &b.Results[i]
		if r.Result.Reply.Message != nil || r.Merged {
			r.Result.Reply.ID, r.Result.Reply.Shard = backend.AttemptID{}, ""
		}
		r.Limit, r.TrimTo = 0, 0
	}
}

// trimReply returns the reply of one shard with at most limit records, and without the headers, which are not part of an answer
// over many shards. The reply itself stays unchanged, since other attempts may refer to it.
func trimReply(m *backend.MessageReply, limit int) *backend.MessageReply {
	return &backend.MessageReply{
		StatusCode: m.StatusCode, Body: gather.MergeRecords([][]byte{m.Body}, limit), Signatures: m.Signatures,
	}
}

// mergeGroup merges the replies of group, which belong to one caller's request, into that of its first result.
func mergeGroup(group []*Result) {
	merged := &backend.MessageReply{StatusCode: http.StatusOK}
	bodies := make([][]byte, 0, len(group))
	for _, r := range group {
		m := r.Result.Reply.Message
		bodies = append(bodies, m.Body)
		merged.Signatures = append(merged.Signatures, m.Signatures...)
		merged.Shards = append(merged.Shards, r.Result.Reply.Shard)
		r.Result.Reply.Message = nil
		r.Merged = true
	}
	merged.Body = gather.MergeRecords(bodies, group[0].Limit)
	group[0].Result.Reply.Message = merged
	group[0].Merged = false
}
