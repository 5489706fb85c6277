package shell

import (
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"tansyseam/internal/app/admin"
	"tansyseam/internal/coordination/membership"
	"tansyseam/internal/state/model"
)

// nodeRef is a node as reported by the first node.
type nodeRef struct {
	name, kind, address, status string
}

// fetch makes a call to a node and parses the answer.
func (s *Shell) fetch(address, path string) (*fastjson.Value, error) {
	data, err := s.request(address, path)
	if err != nil {
		return nil, unreachable("%s: %v", address, err)
	}
	value, err := fastjson.ParseBytes(data)
	if err != nil {
		return nil, unreachable("%s: answer is not valid JSON", address)
	}
	return value, nil
}

// listNodes returns the nodes that the first node reports.
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

// collect makes a call to each live node of a kind, or of any kind if the kind is
// empty, and returns the rows that read returns for the answers. Nodes that are not
// live or do not answer are listed as unreachable.
func (s *Shell) collect(kind, path string, read func(nodeRef, *fastjson.Value) []row) (result, error) {
	res := result{}
	nodes, err := s.listNodes()
	if err != nil {
		return res, err
	}
	for _, node := range nodes {
		if kind != "" && node.kind != kind {
			continue
		}
		if node.status != membership.StatusLive {
			res.unreachable = append(res.unreachable, node.name+" is "+node.status)
			continue
		}
		value, err := s.fetch(node.address, path)
		if err != nil {
			res.unreachable = append(res.unreachable, node.name+": "+err.Error())
			continue
		}
		res.rows = append(res.rows, read(node, value)...)
	}
	return res, nil
}

// fetchFromPrimary returns the report of the control primary.
func (s *Shell) fetchFromPrimary() (*fastjson.Value, error) {
	nodes, err := s.listNodes()
	if err != nil {
		return nil, err
	}
	var unreached []string
	for _, node := range nodes {
		if node.kind != model.KindControl {
			continue
		}
		value, err := s.fetch(node.address, admin.PathFleet)
		if err != nil {
			unreached = append(unreached, node.name)
			continue
		}
		if value.GetBool("primacy") {
			return value, nil
		}
	}
	return nil, unreachable("no control machine that was reached holds primacy (not reached: %s)", strings.Join(unreached, ", "))
}

func stringAt(value *fastjson.Value, keys ...string) string {
	return string(value.GetStringBytes(keys...))
}

// joinedKeys returns the sorted keys of an object, separated by commas.
func joinedKeys(value *fastjson.Value, key string) string {
	var keys []string
	if object := value.GetObject(key); object != nil {
		object.Visit(func(name []byte, _ *fastjson.Value) { keys = append(keys, string(name)) })
	}
	slices.Sort(keys)
	return strings.Join(keys, ",")
}
