package chat

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the usual average for English text. The estimate only
	// needs to compare requests with each other.
	bytesPerToken = 4
	// defaultOutputTokens is the estimated output of a request without a limit
	// on output tokens.
	defaultOutputTokens = 256
	// maxOutputTokens is the largest limit that a request may state. It is above
	// what any engine can produce.
	maxOutputTokens = 1 << 20
	// maxChoices limits n, which multiplies the output of a request.
	maxChoices = 16
	// maxMembers is the maximum number of members of a body. A name takes several times
	// its length while the body is parsed, and the published API has some dozens.
	maxMembers = 1024
)

// chatRequest is a parsed chat request.
type chatRequest struct {
	model        string
	stream       bool
	includeUsage bool
	prefixHash   uint64   // of the messages that all turns of a chat share
	parts        []uint64 // hashes of all messages but the last, which later turns repeat
	promptBytes  int
	outputTokens int // estimated maximum per choice
	choices      int
	engineBody   []byte // body sent to the engine
}

// size returns what the request holds, in bytes.
func (q *chatRequest) size() int64 { return int64(cap(q.engineBody) + 8*cap(q.parts)) }

// estimateTokens returns the estimated sum of prompt and output tokens.
func (q *chatRequest) estimateTokens() uint32 {
	return uint32(min(q.promptBytes/bytesPerToken+q.outputTokens*q.choices, math.MaxUint32))
}

// forcedStreamMembers replaces the caller's stream members: the router always
// streams from the engine and always needs the usage.
const forcedStreamMembers = `"stream":true,"stream_options":{"include_usage":true}}`

// memberParsers maps member names to their parsers. Other members are forwarded
// without being parsed.
var memberParsers = map[string]func(q *chatRequest, value []byte) error{
	"model":                 (*chatRequest).parseModel,
	"messages":              (*chatRequest).parseMessages,
	"stream":                (*chatRequest).parseStream,
	"stream_options":        (*chatRequest).parseStreamOptions,
	"max_tokens":            (*chatRequest).parseMaxTokens,
	"max_completion_tokens": (*chatRequest).parseMaxTokens,
	"n":                     (*chatRequest).parseChoices,
}

// replacedMembers are the members that forcedStreamMembers replaces.
var replacedMembers = map[string]bool{"stream": true, "stream_options": true}

// parseRequest validates the body of a chat request and builds the body for the
// engine. Unknown members are forwarded unchanged.
func parseRequest(body []byte) (*chatRequest, error) {
	if !json.Valid(body) {
		return nil, invalidValue("", "the body is not valid JSON")
	}
	body = body[skipSpace(body, 0):]
	if firstByte(body) != '{' {
		return nil, invalidValue("", "the body is not a JSON object")
	}
	q := &chatRequest{outputTokens: defaultOutputTokens, choices: 1}
	q.engineBody = append(make([]byte, 0, len(body)+len(forcedStreamMembers)+1), '{')
	seen := map[string]bool{}
	err := forEachMember(body, func(name, value []byte) error {
		// Duplicate names are rejected, since the engine might use the other
		// member. Some JSON decoders ignore the case of names.
		lower := strings.ToLower(string(name))
		if seen[lower] {
			return invalidValue(string(name), "member %q occurs twice", name)
		}
		seen[lower] = true
		if len(seen) > maxMembers {
			return invalidValue("", "the body has more than %d members", maxMembers)
		}
		return q.addMember(name, value)
	})
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"model", "messages"} {
		if !seen[name] {
			return nil, invalidValue(name, "member %q is missing", name)
		}
	}
	q.engineBody = append(q.engineBody, forcedStreamMembers...)
	return q, nil
}

func (q *chatRequest) addMember(name, value []byte) error {
	if parse, ok := memberParsers[string(name)]; ok {
		if err := parse(q, value); err != nil {
			return err
		}
	}
	if replacedMembers[string(name)] {
		return nil
	}
	q.engineBody = appendMemberName(q.engineBody, name)
	q.engineBody = append(q.engineBody, value...)
	q.engineBody = append(q.engineBody, ',')
	return nil
}

// appendMemberName appends a quoted member name and a colon.
func appendMemberName(b, name []byte) []byte {
	if isPlainASCII(name) {
		b = append(b, '"')
		b = append(b, name...)
		return append(b, '"', ':')
	}
	// Marshaling a string cannot fail.
	quoted, _ := json.Marshal(string(name))
	return append(append(b, quoted...), ':')
}

// isPlainASCII reports whether text is printable ASCII that needs no escaping in
// JSON.
func isPlainASCII(text []byte) bool {
	for _, c := range text {
		if c < ' ' || c > '~' || c == '"' || c == '\\' {
			return false
		}
	}
	return true
}

func (q *chatRequest) parseModel(value []byte) error {
	if firstByte(value) != '"' {
		return invalidValue("model", "model must be a string")
	}
	q.model = string(unquote(value))
	if q.model == "" {
		return invalidValue("model", "model must not be empty")
	}
	return nil
}

func (q *chatRequest) parseStream(value []byte) error {
	return parseBool("stream", value, &q.stream)
}

func (q *chatRequest) parseStreamOptions(value []byte) error {
	switch firstByte(value) {
	case 'n':
		return nil
	case '{':
	default:
		return invalidValue("stream_options", "stream_options must be an object")
	}
	return forEachMember(value, func(name, value []byte) error {
		if string(name) != "include_usage" {
			return nil
		}
		return parseBool("stream_options.include_usage", value, &q.includeUsage)
	})
}

func parseBool(param string, value []byte, target *bool) error {
	switch firstByte(value) {
	case 't', 'f', 'n':
		*target = firstByte(value) == 't'
		return nil
	}
	return invalidValue(param, "%s must be true or false", param)
}

func (q *chatRequest) parseMaxTokens(value []byte) error {
	return parseCount("max_tokens", value, maxOutputTokens, &q.outputTokens)
}

func (q *chatRequest) parseChoices(value []byte) error {
	return parseCount("n", value, maxChoices, &q.choices)
}

func parseCount(param string, value []byte, limit int, target *int) error {
	if firstByte(value) == 'n' {
		return nil
	}
	n, err := strconv.Atoi(string(value))
	if err != nil || n < 1 || n > limit {
		return invalidValue(param, "%s must be an integer from 1 to %d", param, limit)
	}
	*target = n
	return nil
}

// knownRoles are the message roles of the published API.
var knownRoles = map[string]bool{
	"system": true, "developer": true, "user": true,
	"assistant": true, "tool": true, "function": true,
}

// parseMessages validates the roles and hashes the messages up to and including
// the first user message, which later turns of a chat repeat unchanged, and each
// message by itself.
func (q *chatRequest) parseMessages(value []byte) error {
	if firstByte(value) != '[' {
		return invalidValue("messages", "messages must be an array")
	}
	q.promptBytes = len(value)
	hash, messageHash := xxhash.New(), xxhash.New()
	count, inPrefix := 0, true
	err := forEachElement(value, func(message []byte) error {
		role, content, err := parseMessage(message)
		if err != nil {
			return err
		}
		count++
		if inPrefix {
			writeMessage(hash, role, content)
		}
		messageHash.Reset()
		writeMessage(messageHash, role, content)
		q.parts = append(q.parts, messageHash.Sum64())
		inPrefix = inPrefix && role != "user"
		return nil
	})
	if err == nil && count == 0 {
		return invalidValue("messages", "messages must not be empty")
	}
	q.prefixHash = hash.Sum64()
	q.parts = q.parts[:max(0, count-1)]
	return err
}

// writeMessage adds a message to a hash. Writes to the hash never fail.
func writeMessage(hash *xxhash.Digest, role string, content []byte) {
	_, _ = hash.WriteString(role)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write(content)
	_, _ = hash.Write([]byte{0})
}

func parseMessage(message []byte) (role string, content []byte, err error) {
	if firstByte(message) != '{' {
		return "", nil, invalidValue("messages", "each message must be an object")
	}
	err = forEachMember(message, func(name, value []byte) error {
		switch string(name) {
		case "role":
			if firstByte(value) == '"' {
				role = string(unquote(value))
			}
		case "content":
			content = value
		}
		return nil
	})
	if err == nil && !knownRoles[role] {
		err = invalidValue("messages", "role %q of a message is not known", role)
	}
	return role, content, err
}
