package etcd

import (
	"context"
	"time"
)

// prefixEnd returns the first key after all keys with the prefix.
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	// The range has no upper limit, which the protocol encodes as a zero byte.
	return []byte{0}
}

// Get returns the value of a key and whether it exists.
func (c *Client) Get(ctx context.Context, key string) (KeyValue, bool, error) {
	var r rangeResponse
	err := c.do(ctx, "get", rangeRequest{Key: []byte(key)}, &r)
	if err != nil || len(r.KVs) == 0 {
		return KeyValue{}, false, err
	}
	return r.KVs[0].keyValue(), true, nil
}

// Revision returns the store revision of the last change of a key, 0 if the key
// does not exist. It does not transfer the value.
func (c *Client) Revision(ctx context.Context, key string) (int64, error) {
	var r rangeResponse
	err := c.do(ctx, "revision", rangeRequest{Key: []byte(key), KeysOnly: true}, &r)
	if err != nil || len(r.KVs) == 0 {
		return 0, err
	}
	return r.KVs[0].keyValue().ModRevision(), nil
}

// List returns the keys with the prefix and the store revision at which they
// were read.
func (c *Client) List(ctx context.Context, prefix string) ([]KeyValue, int64, error) {
	var r rangeResponse
	if err := c.do(ctx, "list", rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}, &r); err != nil {
		return nil, 0, err
	}
	list := make([]KeyValue, len(r.KVs))
	for i, kv := range r.KVs {
		list[i] = kv.keyValue()
	}
	return list, r.Header.Revision, nil
}

// Create writes a key that must not exist, under the lease unless lease is 0. It
// returns the new key, or the existing one if there is one.
func (c *Client) Create(ctx context.Context, key string, value []byte, lease int64) (created bool, current KeyValue, err error) {
	var absent int64
	condition := compare{Key: []byte(key), Target: "CREATE", Result: "EQUAL", CreateRevision: &absent}
	created, current, err = c.conditionalPut(ctx, "create", condition, value, lease)
	if created {
		current.createRevision = current.modRevision
	}
	return created, current, err
}

// CreateWithMarker is Create with a second key, the marker, which is written in the
// same transaction with the same value and no lease. first reports that the
// marker did not exist before and that the key anchor exists: a store without
// the anchor has lost its keys, including the marker. After an error it
// is unknown whether the key was created and whether it was the first.
func (c *Client) CreateWithMarker(ctx context.Context, key, marker, anchor string, value []byte, lease int64) (created, first bool, current KeyValue, err error) {
	var absent int64
	var r txnResponse
	err = c.do(ctx, "create", txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "CREATE", Result: "EQUAL", CreateRevision: &absent}},
		Success: []operation{
			{Range: &rangeRequest{Key: []byte(marker), KeysOnly: true}},
			{Range: &rangeRequest{Key: []byte(anchor), KeysOnly: true}},
			{Put: &putRequest{Key: []byte(key), Value: value, Lease: lease}},
			{Put: &putRequest{Key: []byte(marker), Value: value}},
		},
		Failure: []operation{{Range: &rangeRequest{Key: []byte(key)}}},
	}, &r)
	switch {
	case err != nil:
		return false, false, KeyValue{}, err
	case !r.Succeeded:
		return false, false, r.currentValue(), nil
	}
	first = r.foundNoKey(0) && !r.foundNoKey(1)
	return true, first, NewKeyValue(key, value, r.Header.Revision, r.Header.Revision, lease), nil
}

// Swap writes a key whose last change must be modRevision, under the lease
// unless lease is 0. It returns the new key, or the current one if the revision
// differs, which is empty if the key does not exist.
func (c *Client) Swap(ctx context.Context, key string, modRevision int64, value []byte, lease int64) (swapped bool, current KeyValue, err error) {
	condition := compare{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: &modRevision}
	return c.conditionalPut(ctx, "swap", condition, value, lease)
}

// SwapWithMarker is Swap with a second key, the marker, which is written in the
// same transaction with the same value and no lease.
func (c *Client) SwapWithMarker(ctx context.Context, key, marker string, modRevision int64, value []byte, lease int64) (swapped bool, current KeyValue, err error) {
	condition := compare{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: &modRevision}
	return c.conditionalPut(ctx, "swap", condition, value, lease, operation{Put: &putRequest{Key: []byte(marker), Value: value}})
}

func (c *Client) conditionalPut(ctx context.Context, kind string, condition compare, value []byte, lease int64, extra ...operation) (bool, KeyValue, error) {
	var r txnResponse
	err := c.do(ctx, kind, txnRequest{
		Compare: []compare{condition},
		Success: append([]operation{{Put: &putRequest{Key: condition.Key, Value: value, Lease: lease}}}, extra...),
		Failure: []operation{{Range: &rangeRequest{Key: condition.Key}}},
	}, &r)
	if err != nil {
		return false, KeyValue{}, err
	}
	if !r.Succeeded {
		return false, r.currentValue(), nil
	}
	return true, NewKeyValue(string(condition.Key), value, r.Header.Revision, 0, lease), nil
}

// Delete removes a key whose last change must be modRevision; with modRevision 0
// it removes the key at any revision. It reports whether it removed the key.
func (c *Client) Delete(ctx context.Context, key string, modRevision int64) (bool, error) {
	if modRevision == 0 {
		var r deleteResponse
		err := c.do(ctx, "remove", deleteRequest{Key: []byte(key)}, &r)
		return r.Deleted > 0, err
	}
	var r txnResponse
	err := c.do(ctx, "delete", txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: &modRevision}},
		Success: []operation{{Delete: &deleteRequest{Key: []byte(key)}}},
	}, &r)
	return r.Succeeded, err
}

// DeleteUnlessExists removes a key whose last change must be modRevision, unless the
// key other exists. It reports whether it removed the key.
func (c *Client) DeleteUnlessExists(ctx context.Context, key string, modRevision int64, other string) (bool, error) {
	var absent int64
	var r txnResponse
	err := c.do(ctx, "delete", txnRequest{
		Compare: []compare{
			{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: &modRevision},
			{Key: []byte(other), Target: "CREATE", Result: "EQUAL", CreateRevision: &absent},
		},
		Success: []operation{{Delete: &deleteRequest{Key: []byte(key)}}},
	}, &r)
	return r.Succeeded, err
}

// GrantLease returns the ID of a new lease; ttl is rounded up to seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (int64, error) {
	var r leaseMessage
	err := c.do(ctx, "grant", leaseMessage{TTL: int64((ttl + time.Second - 1) / time.Second)}, &r)
	return r.ID, err
}

// KeepAlive renews a lease and returns its remaining time, 0 if it has expired.
func (c *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var r keepAliveResponse
	if err := c.do(ctx, "keepalive", leaseMessage{ID: lease}, &r); err != nil {
		return 0, err
	}
	if r.Error != nil {
		return 0, newStreamError(r.Error)
	}
	return time.Duration(r.Result.TTL) * time.Second, nil
}

// Revoke ends a lease and removes its keys. It fails with ErrRejected if the
// lease has already expired.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	var r struct{}
	return c.do(ctx, "revoke", leaseMessage{ID: lease}, &r)
}
