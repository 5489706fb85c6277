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

// ErrNotSent says that a call to the platform did not leave this node.
const ErrNotSent = errors.ConstError("call not sent")

const (
	// platformDialTimeout bounds a connect to the platform.
	platformDialTimeout = time.Second
	// promoteTimeout bounds the wait for the response to a promote call.
	promoteTimeout = 2 * time.Second
)

// platformClient connects to the platform. Its HTTP client is made with the
// first connection and kept: an engine that is stopped just after its start may
// never end.
type platformClient struct {
	node   *node.Node
	mutex  sync.Mutex
	client *httpserver.Client
}

func newPlatformClient(node *node.Node) *platformClient { return &platformClient{node: node} }

// promote sends a promote call and gives the HTTP status of the response. Its
// error is ErrNotSent where the call certainly did not leave this node; after
// any other error it may have been received.
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

// httpClient gives the client whose connections leave from this node's IP.
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

// NewPromoter makes the promoter of a platform whose call newRequest writes.
func NewPromoter(node *node.Node, newRequest func(adapter.Promotion) adapter.Request) Promoter {
	platform := newPlatformClient(node)
	return func(cfg config.Config, promotion adapter.Promotion) (int, error) {
		return platform.promote(cfg, newRequest(promotion))
	}
}
