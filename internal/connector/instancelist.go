package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/go-faster/errors"

	"dotterelpost.example/dotterelpost/internal/modeler"
)

// InstanceList is the platform's list of live and leaving instances and workers. It lags behind the
// actual state. Invalid counts the entries that describe neither; other writers may have left them.
type InstanceList struct {
	Instances []modeler.Instance `json:"instances"`
	Workers   []modeler.Worker   `json:"workers"`
	Invalid   int                `json:"-"`
}

// List returns the instance list with the workers of one region. The platform sends the list only if
// it changed since the last call, because every instance polls it and it grows to hundreds of
// kilobytes at the cluster size expected in two years. The result must not be modified.
func (c *Client) List(ctx context.Context, region string) (InstanceList, error) {
	c.cacheMu.Lock()
	cached := c.cache
	c.cacheMu.Unlock()
	target := c.endpoint("instances") + "?" + url.Values{"region": {region}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return InstanceList{}, errors.Wrap(err, "build request to "+target)
	}
	if cached.etag != "" && cached.region == region {
		request.Header.Set("If-None-Match", cached.etag)
	}
	status, header, body, err := c.send(request)
	if err != nil {
		return InstanceList{}, err
	}
	if status == http.StatusNotModified {
		return cached.list, nil
	}
	if status != http.StatusOK {
		return InstanceList{}, &RefusedError{Call: "GET " + target, Status: status, Reason: string(body)}
	}
	fresh := cachedList{region: region, etag: header.Get("ETag")}
	if fresh.list, err = decodeInstanceList(body); err != nil {
		return InstanceList{}, &UnreachableError{Call: "GET " + target, Err: err}
	}
	c.cacheMu.Lock()
	defer c.cacheMu.Unlock()
	c.cache = fresh
	return fresh.list, nil
}

// cachedList is the last list received for a region, with its entity tag.
type cachedList struct {
	region string
	etag   string
	list   InstanceList
}

// MalformedListError reports that the platform's list is not an object.
type MalformedListError struct{}

func (e *MalformedListError) Error() string { return "the list is not an object" }

// decodeInstanceList decodes each entry on its own, so that one that can't be decoded hides no other.
func decodeInstanceList(body []byte) (InstanceList, error) {
	var list InstanceList
	entries, err := splitLists(body)
	if err != nil {
		return list, err
	}
	for _, entry := range entries["instances"] {
		var instance modeler.Instance
		if json.Unmarshal(entry, &instance) != nil || instance.Name == "" {
			list.Invalid++
			continue
		}
		list.Instances = append(list.Instances, instance)
	}
	for _, entry := range entries["workers"] {
		var worker modeler.Worker
		if json.Unmarshal(entry, &worker) != nil || !worker.Valid() {
			list.Invalid++
			continue
		}
		list.Workers = append(list.Workers, worker)
	}
	return list, nil
}

// splitLists returns the entries of each list in an object. Unlike json.Unmarshal it does not limit how deeply the
// entries are nested.
func splitLists(body []byte) (map[string][]json.RawMessage, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, errors.Join(err, &MalformedListError{})
	}
	lists := make(map[string][]json.RawMessage)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		// The keys of an object are strings.
		name, _ := token.(string)
		if token, err = decoder.Token(); err != nil {
			return nil, err
		}
		for token == json.Delim('[') && decoder.More() {
			start := decoder.InputOffset()
			first, err := decoder.Token()
			if err == nil {
				err = skipRest(decoder, first)
			}
			if err != nil {
				return nil, err
			}
			lists[name] = append(lists[name], bytes.TrimLeft(body[start:decoder.InputOffset()], ", \t\r\n"))
		}
		if err := skipRest(decoder, token); err != nil {
			return nil, err
		}
	}
	return lists, nil
}

// skipRest reads the rest of the value that begins with a token.
func skipRest(decoder *json.Decoder, first json.Token) error {
	for depth, token := 0, first; ; {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		var err error
		if token, err = decoder.Token(); err != nil {
			return err
		}
	}
}
