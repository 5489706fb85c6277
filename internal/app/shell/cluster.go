package shell

import (
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
)

// nodeRef is a node as the first node knows it.
type nodeRef struct {
	name, kind, address, status string
}

// fetch makes a call to a node and reads the answer.
func (s *Shell) fetch(address, path string) (*fastjson.Value, error) {
	data, err := s.request(address, path)
	if err != nil {
		return nil, unreachable("%s: %v", address, err)
	}
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, unreachable("%s answered no JSON", address)
	}
	return value, nil
}

// listNodes gives the nodes that the first node knows.
func (s *Shell) listNodes() ([]nodeRef, error) {
	value, err := s.fetch(s.Address, admin.PathFleet)
	if err != nil {
		return nil, err
	}
	var nodes []nodeRef
	for _, node := range value.GetArray("nodes") {
		nodes = append(nodes, nodeRef{
			name: stringAt(node, "node"), kind: stringAt(node, "kind"), address: stringAt(node, "door"), status: stringAt(node, "standing"),
		})
	}
	return nodes, nil
}

// collect makes a call to each live node of a kind, or of any where the kind is
// empty, and gathers the rows that are read from the answers.
func (s *Shell) collect(kind, path string, read func(nodeRef, *fastjson.Value) []row) (result, error) {
	found := result{}
	nodes, err := s.listNodes()
	if err != nil {
		return found, err
	}
	for _, node := range nodes {
		if kind != "" && node.kind != kind {
			continue
		}
		if node.status != membership.StatusLive {
			found.unreachable = append(found.unreachable, node.name+" is "+node.status)
			continue
		}
		value, err := s.fetch(node.address, path)
		if err != nil {
			found.unreachable = append(found.unreachable, node.name+": "+err.Error())
			continue
		}
		found.rows = append(found.rows, read(node, value)...)
	}
	return found, nil
}

// fetchFromPrimary gives the report of the node that holds control primacy.
func (s *Shell) fetchFromPrimary() (*fastjson.Value, error) {
	nodes, err := s.listNodes()
	if err != nil {
		return nil, err
	}
	var missed []string
	for _, node := range nodes {
		if node.kind != model.KindControl {
			continue
		}
		value, err := s.fetch(node.address, admin.PathFleet)
		if err != nil {
			missed = append(missed, node.name)
			continue
		}
		if value.GetBool("primacy") {
			return value, nil
		}
	}
	return nil, unreachable("no control machine that was reached holds primacy (not reached: %s)", strings.Join(missed, ", "))
}

func stringAt(value *fastjson.Value, keys ...string) string {
	return string(value.GetStringBytes(keys...))
}

// sortedKeys gives the keys of an object, with commas between.
func sortedKeys(value *fastjson.Value, key string) string {
	var keys []string
	if object := value.GetObject(key); object != nil {
		object.Visit(func(name []byte, _ *fastjson.Value) { keys = append(keys, string(name)) })
	}
	slices.Sort(keys)
	return strings.Join(keys, ",")
}
