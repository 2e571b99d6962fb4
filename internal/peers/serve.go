package peers

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"

	"dandelionsail.example/dandelionsail/internal/wire"
)

// serve starts receiving messages on a connection, whichever end opened it, until it closes.
func (qu *QUIC) serve(conn *quic.Conn) {
	from := peerName(conn.ConnectionState().TLS)
	streams := qu.spawn(func(ctx context.Context) { qu.acceptStreams(ctx, conn, from) })
	if !streams || !qu.spawn(func(ctx context.Context) { qu.receiveDatagrams(ctx, conn, from) }) {
		_ = conn.CloseWithError(codeStopped, "stopped")
	}
}

// acceptStreams answers the message on each stream that the peer opens, at most maxHandlers at once over all peers.
func (qu *QUIC) acceptStreams(ctx context.Context, conn *quic.Conn, from string) {
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		select {
		case qu.handlerSlots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		spawned := qu.spawn(func(ctx context.Context) {
			defer func() { <-qu.handlerSlots }()
			qu.answer(ctx, stream, from)
		})
		if !spawned {
			return
		}
	}
}

func (qu *QUIC) answer(ctx context.Context, stream *quic.Stream, from string) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(streamTimeout))
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
	_ = stream.SetWriteDeadline(time.Now().Add(streamTimeout))
	_, _ = stream.Write(encoded)
}

// receiveDatagrams passes the messages of datagrams to the handler and ignores those that cannot be decoded.
func (qu *QUIC) receiveDatagrams(ctx context.Context, conn *quic.Conn, from string) {
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
