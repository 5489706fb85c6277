package scale

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"tansyseam.example/pooler/protocol/msg"
	"tansyseam.example/pooler/transport/link"
	"tansyseam.example/pooler/transport/run"
)

// Weight is what a message is on a link, in bytes.
type Weight struct {
	// First is that of the first of its kind on a connection, Later that of
	// each one after. Processor is the time of both ends for one of these.
	First, Later int64
	Processor    time.Duration
}

type counted struct {
	net.Conn
	count *atomic.Int64
}

func (c counted) Read(into []byte) (int, error) {
	size, err := c.Conn.Read(into)
	c.count.Add(int64(size))
	return size, err
}

// Weigh sends messages of one kind over a real link, one after another, and
// counts their bytes between the two ends.
func Weigh(host string, bodies ...any) (Weight, error) {
	msg.Register()
	crew, heard := run.NewCrew(), make(chan struct{}, 1)
	defer crew.Stop(time.Second)
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return Weight{}, err
	}
	defer func() { _ = listener.Close() }()
	far, err := free(host)
	if err != nil {
		return Weight{}, err
	}
	to := link.New("to", far, crew, &run.Counters{}, func(string, any, func(any)) { heard <- struct{}{} })
	if err := to.Listen(); err != nil {
		return Weight{}, err
	}
	defer to.Close()
	near, err := free(host)
	if err != nil {
		return Weight{}, err
	}
	from := link.New("from", near, crew, &run.Counters{}, func(string, any, func(any)) {})
	if err := from.Listen(); err != nil {
		return Weight{}, err
	}
	defer from.Close()
	count := &atomic.Int64{}
	crew.Go(func() { pass(crew, listener, far, count) })
	var sizes []int64
	began := ownProcessor()
	for at, body := range bodies {
		if at == 1 {
			began = ownProcessor()
		}
		before := count.Load()
		from.Send(listener.Addr().String(), body)
		if !run.Await(heard, 5*time.Second) {
			return Weight{}, fmt.Errorf("%T did not arrive", body)
		}
		sizes = append(sizes, count.Load()-before)
	}
	weight := Weight{First: sizes[0], Later: sizes[0]}
	if len(sizes) > 1 {
		total := int64(0)
		for _, size := range sizes[1:] {
			total += size
		}
		weight.Later = total / int64(len(sizes)-1)
		weight.Processor = (ownProcessor() - began) / time.Duration(len(sizes)-1)
	}
	return weight, nil
}

func pass(crew *run.Crew, listener net.Listener, far string, count *atomic.Int64) {
	near, err := listener.Accept()
	if err != nil {
		return
	}
	defer func() { _ = near.Close() }()
	on, err := net.Dial("tcp", far)
	if err != nil {
		return
	}
	crew.Go(func() {
		<-crew.Stopping()
		_ = near.Close()
		_ = on.Close()
	})
	_, _ = io.Copy(on, counted{near, count})
}

func free(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}
