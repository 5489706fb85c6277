package lineproxy

import (
	"reflect"
	"time"

	"tansyseam/internal/coordination/pool/linepool"
	"tansyseam/internal/transport/lineserver"
)

// dialTimeout bounds the connect to an instance.
const dialTimeout = 800 * time.Millisecond

var effectHandlers = map[reflect.Type]func(*Proxy, linepool.Effect){}

func handleEffect[T linepool.Effect](handle func(*Proxy, T)) {
	effectHandlers[reflect.TypeFor[T]()] = func(p *Proxy, effect linepool.Effect) { handle(p, effect.(T)) }
}

func init() {
	handleEffect((*Proxy).respond)
	handleEffect((*Proxy).closeClient)
	handleEffect((*Proxy).openConn)
	handleEffect((*Proxy).send)
	handleEffect((*Proxy).closeConn)
	handleEffect(func(p *Proxy, _ linepool.Report) { p.control.ScheduleReport() })
	handleEffect((*Proxy).logWriterChange)
	handleEffect((*Proxy).logActivation)
}

func (p *Proxy) execute(effect linepool.Effect) { effectHandlers[reflect.TypeOf(effect)](p, effect) }

func (p *Proxy) respond(effect linepool.Respond) {
	p.buffer = p.buffer[:0]
	for _, message := range effect.Messages {
		p.buffer = messageEncoders[message.Kind](p.codec, p.buffer, message)
	}
	effect.Client.Token.(*clientConn).conn.Write(p.buffer)
}

// closeClient closes a client's connection, after the answers that were written unless
// the client has asked for the close.
func (p *Proxy) closeClient(effect linepool.CloseClient) {
	conn := effect.Client.Token.(*clientConn).conn
	if effect.Requested {
		conn.Close()
		return
	}
	conn.CloseGracefully()
}

func (p *Proxy) openConn(effect linepool.OpenConn) {
	handler := &instanceConn{proxy: p, conn: effect.Conn}
	handshake := p.codec.Connect(nil, effect.Database, p.name, effect.Instance)
	p.server.Dial(effect.Address, handshake, dialTimeout, handler, func(conn *lineserver.Conn) {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		effect.Conn.Transport = conn
		if effect.Conn.IsClosed() {
			conn.Close()
		}
	})
}

func (p *Proxy) send(effect linepool.Send) {
	p.buffer = p.buffer[:0]
	for _, command := range effect.Commands {
		text := commandTexts[command.Kind](p.codec, command)
		p.buffer = p.codec.Query(p.buffer, command.ID, text, command.MinPosition)
	}
	if conn, connected := effect.Conn.Transport.(*lineserver.Conn); connected {
		conn.Write(p.buffer)
	}
}

func (p *Proxy) closeConn(effect linepool.CloseConn) {
	if conn, connected := effect.Conn.Transport.(*lineserver.Conn); connected {
		conn.Close()
	}
}

func (p *Proxy) logWriterChange(effect linepool.WriterChanged) {
	writer := effect.Change.Current
	p.log.Info("writer role changed", "database", effect.Change.Database, "term", writer.Term, "phase", writer.Phase, "primary", writer.Primary)
}

func (p *Proxy) logActivation(effect linepool.BindingsActivated) {
	p.log.Info("bindings in force", "sequence", effect.Set.Sequence, "version", effect.Set.Version)
}
