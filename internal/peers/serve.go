package peers

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"dandelionsail.example/dandelionsail/internal/wire"
)

// serve hears a connection, whoever opened it, until it closes.
func (qu *QUIC) serve(conn *quic.Conn) {
	from := peerName(conn.ConnectionState().TLS)
	streams := qu.spawn(func(ctx context.Context) { qu.streams(ctx, conn, from) })
	if !streams || !qu.spawn(func(ctx context.Context) { qu.datagrams(ctx, conn, from) }) {
		_ = conn.CloseWithError(codeStopped, "stopped")
	}
}

func (qu *QUIC) streams(ctx context.Context, conn *quic.Conn, from string) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		select {
		case qu.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		spawned := qu.spawn(func(ctx context.Context) {
			defer func() { <-qu.slots }()
			qu.answer(ctx, stream, from)
		})
		if !spawned {
			return
		}
	}
}

func (qu *QUIC) answer(ctx context.Context, stream *quic.Stream, from string) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(streamTime))
	raw, err := readMessage(stream)
	if err != nil {
		stream.CancelRead(0)
		return
	}
	msg, err := wire.Decode(raw)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	reply := qu.handler(ctx, from, msg)
	if reply == nil {
		reply = wire.Ack{}
	}
	encoded, err := wire.Encode(reply)
	if err != nil {
		stream.CancelWrite(0)
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(streamTime))
	_, _ = stream.Write(encoded)
}

func (qu *QUIC) datagrams(ctx context.Context, conn *quic.Conn, from string) {
	for {
		raw, err := conn.ReceiveDatagram(ctx)
		if err != nil {
			return
		}
		if msg, err := wire.Decode(raw); err == nil {
			qu.handler(ctx, from, msg)
		}
	}
}
