package etcd

// Messages of the gateway encode bytes as base64 and 64-bit integers as strings,
// and omit zero values.

type keyValueMessage struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	ModRevision    int64  `json:"mod_revision,string"`
	CreateRevision int64  `json:"create_revision,string"`
	Lease          int64  `json:"lease,string"`
}

func (m keyValueMessage) keyValue() KeyValue {
	return NewKeyValue(string(m.Key), m.Value, m.ModRevision, m.CreateRevision, m.Lease)
}

type headerMessage struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

type rangeResponse struct {
	Header headerMessage     `json:"header"`
	KVs    []keyValueMessage `json:"kvs"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type deleteResponse struct {
	Deleted int64 `json:"deleted,string"`
}

type compare struct {
	Key            []byte `json:"key"`
	Target         string `json:"target"`
	Result         string `json:"result"`
	CreateRevision *int64 `json:"create_revision,string,omitempty"`
	ModRevision    *int64 `json:"mod_revision,string,omitempty"`
}

type operation struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Range  *rangeRequest  `json:"request_range,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure,omitempty"`
}

type txnResponse struct {
	Header    headerMessage `json:"header"`
	Succeeded bool          `json:"succeeded"`
	Responses []struct {
		Range *rangeResponse `json:"response_range"`
	} `json:"responses"`
}

// currentValue returns the key that the transaction read after its comparison
// failed, empty if the key does not exist.
func (r txnResponse) currentValue() KeyValue {
	for _, o := range r.Responses {
		if o.Range != nil && len(o.Range.KVs) > 0 {
			return o.Range.KVs[0].keyValue()
		}
	}
	return KeyValue{}
}

// foundNoKey reports whether the i-th operation was a read that found no key.
func (r txnResponse) foundNoKey(i int) bool {
	return i < len(r.Responses) && r.Responses[i].Range != nil && len(r.Responses[i].Range.KVs) == 0
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// streamError is the message of a stream that failed, instead of a result.
type streamError struct {
	Message string `json:"message"`
}

type keepAliveResponse struct {
	Result leaseMessage `json:"result"`
	Error  *streamError `json:"error"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

type watchCreateRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end"`
	StartRevision  int64  `json:"start_revision,string,omitempty"`
	ProgressNotify bool   `json:"progress_notify"`
}

type watchResponse struct {
	Result struct {
		Created         bool           `json:"created"`
		Canceled        bool           `json:"canceled"`
		CancelReason    string         `json:"cancel_reason"`
		CompactRevision int64          `json:"compact_revision,string"`
		Events          []eventMessage `json:"events"`
	} `json:"result"`
	Error *streamError `json:"error"`
}

type eventMessage struct {
	Type string          `json:"type"` // "DELETE", or omitted for a put
	KV   keyValueMessage `json:"kv"`
}
