package control

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"tansyseam/internal/app/config"
	"tansyseam/internal/app/node"
	"tansyseam/internal/protocol/adapter"
	"tansyseam/internal/transport/httpserver"
)

// ErrNotSent is returned when a call to the platform did not leave this node.
const ErrNotSent = errors.ConstError("call not sent")

const (
	// platformDialTimeout bounds the time to connect to the platform.
	platformDialTimeout = time.Second
	// promoteTimeout bounds the wait for the response to a promote call.
	promoteTimeout = 2 * time.Second
)

// platformClient connects to the platform. It creates its HTTP client when it
// first connects, and then keeps it, because an HTTP engine that is stopped just
// after its start may never terminate.
type platformClient struct {
	node   *node.Node
	mutex  sync.Mutex
	client *httpserver.Client
}

func newPlatformClient(node *node.Node) *platformClient { return &platformClient{node: node} }

// promote sends a promote call and returns the HTTP status of the response. The
// error is ErrNotSent if the call certainly did not leave this node. After any
// other error the platform may have received the call.
func (p *platformClient) promote(cfg config.Config, request adapter.Request) (status int, err error) {
	client, err := p.httpClient(cfg)
	if err != nil {
		return 0, errors.WithType(err, ErrNotSent)
	}
	conn, err := client.Dial(cfg.PlatformAddress, platformDialTimeout, nil)
	if err != nil {
		return 0, errors.WithType(errors.Trace(err), ErrNotSent)
	}
	defer conn.Close()
	response := conn.Send(request, promoteTimeout)
	return response.Status, errors.Trace(response.Err)
}

// httpClient returns the HTTP client. Its connections use the IP address of this
// node's RPC address as their local address.
func (p *platformClient) httpClient(cfg config.Config) (*httpserver.Client, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.client != nil {
		return p.client, nil
	}
	host, _, _ := net.SplitHostPort(cfg.RPCAddress)
	client, err := httpserver.NewClient(host, p.node.Workers)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.client = client
	return client, nil
}

// NewPromoter returns a Promoter for a platform. The function newRequest builds the
// platform's HTTP request for a promotion.
func NewPromoter(node *node.Node, newRequest func(adapter.Promotion) adapter.Request) Promoter {
	platform := newPlatformClient(node)
	return func(cfg config.Config, promotion adapter.Promotion) (int, error) {
		return platform.promote(cfg, newRequest(promotion))
	}
}
