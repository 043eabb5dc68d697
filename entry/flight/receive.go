package flight

import (
	"context"
	"time"

	"acaciacleat.example/core/attempt"
	"acaciacleat.example/core/call"
	"acaciacleat.example/core/result"
	"acaciacleat.example/core/stream"
	"acaciacleat.example/peers/link"
)

// receive handles one batch of received messages: first the heads, then the frames, and then the
// other events, because an event such as the end of an attempt may follow frames of the batch.
func (f *Flight) receive(ctx context.Context) {
	batch := f.mailbox.take(f.spareBatch)
	for i := range batch.events {
		if head, ok := batch.events[i].message.(*link.Head); ok {
			f.onHead(ctx, head)
		}
	}
	f.deliverFrames(ctx, &batch)
	for i := range batch.events {
		if f.machine.Done() {
			break
		}
		f.perform(ctx, f.onEvent(ctx, batch.events[i]))
	}
	f.finishIfComplete(ctx)
	f.spareBatch = batch
}

// deliverFrames passes the batch's frames to the sink and acknowledges them.
func (f *Flight) deliverFrames(ctx context.Context, batch *contents) {
	if len(batch.frames) == 0 {
		return
	}
	before := f.receiver.NextSeq()
	for i := range batch.frames {
		frame := batch.frame(i)
		if frame.Seq > f.receiver.NextSeq() {
			// The receiver holds the frame longer than this batch's arena is valid.
			frame.Data = append([]byte(nil), frame.Data...)
		}
		f.receiver.Offer(frame, f.deliver)
	}
	if f.receiver.NextSeq() == before || f.machine.Done() {
		return
	}
	if f.sinkErr == nil {
		f.sinkErr = f.sink.Flush()
	}
	if f.sinkErr != nil {
		f.perform(ctx, f.machine.CallerGone(time.Now()))
		return
	}
	f.ack(f.receiver.NextSeq() - 1)
}

// deliver passes the next frame in order to the sink.
func (f *Flight) deliver(frame stream.Frame) {
	if f.sinkErr != nil || f.machine.Done() {
		return
	}
	if f.spec.Offer.Repeatable && !f.spec.Offer.Plain {
		f.deliveredText = append(f.deliveredText, frame.Data...)
	}
	if f.firstFrameAt.IsZero() {
		f.firstFrameAt = time.Now()
	}
	f.deliveredTokens += int(frame.Tokens)
	f.sinkErr = f.sink.Data(frame.Tokens, frame.Data)
	// After a frame, Delivered returns no action, or Fail if the deadline has passed.
	if action := f.machine.Delivered(time.Now(), frame.Attempt, frame.Seq); action.Kind == attempt.Fail {
		f.final = &action
	}
}

func (f *Flight) ack(seq uint64) {
	if f.conn != nil {
		_ = f.conn.Send(&link.Ack{ID: f.id, Attempt: f.receiver.Attempt(), Seq: seq})
	}
}

func (f *Flight) onHead(ctx context.Context, head *link.Head) {
	if f.headReceived || head.Attempt != f.receiver.Attempt() {
		return
	}
	f.headReceived = true
	f.perform(ctx, f.machine.Head(time.Now(), head.Attempt))
	if f.sinkErr == nil {
		f.sinkErr = f.sink.Head(head)
	}
}

// onEvent reports one received event to the machine.
func (f *Flight) onEvent(_ context.Context, e event) attempt.Action {
	now := time.Now()
	switch m := e.message.(type) {
	case nil:
		if e.conn != f.conn {
			return attempt.Action{}
		}
		return f.machine.LinkLost(now, f.receiver.Attempt())
	case *link.Accepted:
		f.observe("accepted", e.conn.Peer().VM, "")
		f.sendBody(e.conn, m.Attempt)
		return f.machine.Accepted(now, m.Attempt)
	case *link.Refused:
		f.observe("refused", e.conn.Peer().VM, m.Detail)
		return f.machine.Refused(now, m.Attempt, attempt.Outcome{
			Code:       m.Code,
			Execution:  m.Execution,
			Detail:     m.Detail,
			RetryAfter: time.Duration(m.RetryAfterMs) * time.Millisecond,
			Better:     m.Better,
		})
	case *link.Cancelled:
		return f.machine.CancelAnswered(now, m.Attempt, m.Execution)
	case *link.UnknownCall:
		return f.machine.AgentLost(now, f.target.Incarnation)
	case *link.End:
		f.onEnd(m)
	}
	return attempt.Action{}
}

// upstreamFailed reports whether a code means that the upstream itself failed.
func upstreamFailed(code result.Code) bool {
	return code == result.UpstreamFailed || code == result.UpstreamTimeout || code == result.UpstreamCrashed
}

// onEnd keeps the end of the current attempt until finishIfComplete reports it.
func (f *Flight) onEnd(m *link.End) {
	if m.Attempt != f.receiver.Attempt() {
		return
	}
	f.end = m
	f.receiver.End(m.Attempt, m.Seq-1)
}

// finishIfComplete reports the end of the attempt to the machine, the fleet view and the quarantine
// once all frames before it are delivered.
func (f *Flight) finishIfComplete(ctx context.Context) {
	if f.end == nil || f.end.Attempt != f.receiver.Attempt() || !f.receiver.Ended() || f.machine.Done() {
		return
	}
	f.ack(f.end.Seq)
	end := f.end
	f.observe("ended", f.target.Agent, end.Detail)
	f.view.RecordEnd(f.target.Agent, upstreamFailed(end.Code))
	f.reportToQuarantine(end)
	outcome := attempt.Outcome{Code: end.Code, Execution: end.Execution, Detail: end.Detail}
	f.perform(ctx, f.machine.Ended(time.Now(), end.Attempt, outcome))
}

// sendBody sends a body that was too large for the offer. It is sent in parts so that frames
// of other requests can be sent between them.
func (f *Flight) sendBody(conn *link.Conn, number call.Attempt) {
	if f.sentBody || number != f.receiver.Attempt() {
		return
	}
	f.sentBody = true
	for offset := 0; offset < len(f.spec.Body); offset += link.BodyPartBytes {
		part := f.spec.Body[offset:min(offset+link.BodyPartBytes, len(f.spec.Body))]
		if err := conn.Send(&link.Body{ID: f.id, Attempt: number, Offset: offset, Data: part}); err != nil {
			return
		}
	}
}
