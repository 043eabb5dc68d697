package dev

import (
	"context"
	"time"

	entryprocess "acaciacleat.example/entry/process"
	"acaciacleat.example/peers/link"
)

// KillAgent stops an agent immediately, as a crash does.
func (d *Deployment) KillAgent(i int) { d.Agents[i].Stop() }

// DrainAgent stops an agent gracefully within limit.
func (d *Deployment) DrainAgent(i int, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d.Agents[i].Drain(ctx)
}

// RestartAgent starts a new incarnation of a stopped agent on its VM.
func (d *Deployment) RestartAgent(i int) error {
	agent, err := d.runAgent(&d.agentConfigs[i])
	if err != nil {
		return err
	}
	d.Agents[i] = agent
	return nil
}

// KillEntry stops an entry immediately, as a crash does.
func (d *Deployment) KillEntry(i int) { d.Entries[i].Stop() }

// DrainEntry stops an entry gracefully within limit.
func (d *Deployment) DrainEntry(i int, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d.Entries[i].Drain(ctx)
}

// RestartEntry starts a new incarnation of a stopped entry on its VM.
func (d *Deployment) RestartEntry(i int) error {
	d.entryConfigs[i].Incarnation = link.NewIncarnation()
	e, err := entryprocess.Start(d.entryConfigs[i])
	if err != nil {
		return err
	}
	d.Entries[i] = e
	return nil
}
