package etcd

// KeyValue is a key of the store with its value, revisions and lease.
type KeyValue struct {
	key                                string
	value                              []byte
	modRevision, createRevision, lease int64
}

// NewKeyValue returns a KeyValue; it is exported for fakes of the client.
func NewKeyValue(key string, value []byte, modRevision, createRevision, lease int64) KeyValue {
	return KeyValue{key, value, modRevision, createRevision, lease}
}

// Key returns the key, "" for a key that does not exist.
func (k KeyValue) Key() string { return k.key }

// Value returns the value, which must not be changed.
func (k KeyValue) Value() []byte { return k.value }

// ModRevision returns the store revision of the last change.
func (k KeyValue) ModRevision() int64 { return k.modRevision }

// CreateRevision returns the store revision at which the key was created, 0
// after a Swap, whose response does not contain it.
func (k KeyValue) CreateRevision() int64 { return k.createRevision }

// Lease returns the ID of the lease that the key is attached to, 0 for none.
func (k KeyValue) Lease() int64 { return k.lease }

// Event is one change of a key that a watch received.
type Event struct {
	keyValue KeyValue
	deleted  bool
}

// NewEvent returns an event; it is exported for fakes of the client.
func NewEvent(kv KeyValue, deleted bool) Event { return Event{kv, deleted} }

// KeyValue returns the key with its new value, or for a deletion only the key
// and the revision of the deletion.
func (e Event) KeyValue() KeyValue { return e.keyValue }

// Deleted reports whether the key was deleted or its lease expired.
func (e Event) Deleted() bool { return e.deleted }
