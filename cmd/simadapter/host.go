package main

import (
	"fmt"
	"runtime/debug"
	"strings"
	"time"

	"springfield/internal/settings"
	"springfield/internal/simwire"
	"springfield/policy"
)

// host holds the instances of this process. They share nothing but the reply buffer.
type host struct {
	nodes map[uint32]*node
	reply simwire.Reply
}

// node is one instance: its Gateway and the translation of its settings.
type node struct {
	id      uint32
	gw      *policy.Engine
	reply   *simwire.Reply
	columns []string
	dead    bool // the module has failed; the day is over
}

func newHost() *host { return &host{nodes: map[uint32]*node{}} }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// play hands the events of a batch to their instances, in order.
func (h *host) play(b *simwire.Batch) error {
	h.reply.Reset()
	now := settings.Duration(b.Clock)
	for i := range b.Events {
		e := &b.Events[i]
		n := h.nodes[e.Node]
		switch {
		case e.Code == simwire.CodeBegin:
			n = &node{id: e.Node, reply: &h.reply, columns: e.Settings.Report.Columns}
			h.nodes[e.Node] = n
		case n == nil:
			return fmt.Errorf("event %d of the batch (code %d) is for unknown instance %d", i, e.Code, e.Node)
		case e.Code == simwire.CodeDown:
			delete(h.nodes, e.Node)
			continue
		}
		n.handle(now, e)
	}
	return nil
}

// handle plays one event; a panic of the module becomes the wire's fault record.
func (n *node) handle(now time.Duration, e *simwire.Event) {
	if n.dead {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			n.dead = true
			stack := strings.ReplaceAll(string(debug.Stack()), "\n", " | ")
			n.reply.BailOut(n.id, fmt.Sprintf("panic: %v at %.600s", r, stack[min(len(stack), 300):]))
		}
	}()
	switch e.Code {
	case simwire.CodeBegin:
		n.gw = policy.New(settings.Config(e.Settings, e.Seed), n)
		n.gw.Start(now)
	case simwire.CodePeersKnown:
		n.gw.UpdateEndpoints(now, policy.UpdateKind(e.Kind), servers(e.Entries))
	case simwire.CodeSubmit:
		n.gw.Submit(now, policy.Request{ID: policy.RequestID(e.Job), Class: int(e.Class), Plan: int(e.Plan),
			Customer: policy.CustomerID(e.Caller), TimeLeft: settings.Duration(e.Remaining), Units: float64(e.Weight),
			SetSize: int(e.Width), SetFirst: int(e.FromNo)})
	case simwire.CodeOpened:
		n.gw.ResponseStarted(now, policy.RequestID(e.Job), int(e.Try), policy.EndpointID(e.Server), settings.Duration(e.TookMs))
	case simwire.CodeFinished:
		n.gw.AttemptFinished(now, policy.AttemptResult{Request: policy.RequestID(e.Job), Attempt: int(e.Try),
			Endpoint: policy.EndpointID(e.Server), Status: status(e.Status), Latency: settings.Duration(e.TookMs), RequestDone: e.Done,
			HasUsage: e.Use > 0, Usage: (float64(e.Use) - 1) / 100, LoadReport: n.report(e.Stats)})
	case simwire.CodeClientLeft:
		n.gw.ClientDisconnected(now, policy.RequestID(e.Job))
	case simwire.CodeReminder:
		n.gw.TimerFired(now, e.Mark)
	}
}

func status(code uint8) policy.Status { return policy.Status(code/10 - 1) }

func servers(entries []simwire.Entry) []policy.Endpoint {
	out := make([]policy.Endpoint, len(entries))
	for i, s := range entries {
		out[i] = policy.Endpoint{ID: policy.EndpointID(s.Server), Weight: float64(s.Weight),
			State: policy.EndpointState(s.Readiness), Zone: int(s.Zone), Cell: int(s.Cell), StartedAt: settings.Duration(s.UpSinceMs)}
	}
	return out
}

func (n *node) report(stats []float32) policy.LoadReport {
	r := policy.LoadReport{Present: len(stats) > 0, InFlight: -1, Queued: -1, Utilization: -1, Latency: -1, Rate: -1, Errors: -1}
	for i, v := range stats {
		if i >= len(n.columns) {
			break
		}
		switch x := float64(v); n.columns[i] {
		case "active":
			r.InFlight = x
		case "waiting":
			r.Queued = x
		case "cpu":
			r.Utilization = x
		case "avg_ms":
			r.Latency = x / 1000
		case "rps":
			r.Rate = x
		case "err_rps":
			r.Errors = x
		}
	}
	return r
}

// The rest implements policy.Actions by writing each action to the reply.

func (n *node) Forward(id policy.RequestID, server policy.EndpointID, until time.Duration) {
	n.reply.Send(n.id, uint32(id), uint32(server), millis(until))
}
func (n *node) Reject(id policy.RequestID, retryAfter time.Duration) {
	n.reply.Refuse(n.id, uint32(id), millis(retryAfter))
}
func (n *node) Fail(id policy.RequestID) { n.reply.ReportFailure(n.id, uint32(id)) }
func (n *node) CancelAttempt(id policy.RequestID, attempt int) {
	n.reply.CallOff(n.id, uint32(id), uint8(attempt))
}
func (n *node) StartTimer(after time.Duration, token uint64) {
	n.reply.SetTimer(n.id, millis(after), token)
}
func (n *node) WatchEndpoints(on bool) { n.reply.Track(n.id, on) }
