package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// tokensPerMessage is the number of tokens of a message in addition to its words.
const tokensPerMessage = 4

// A completion has minWords to minWords+wordCountRange-1 words unless the prompt
// requests a length.
const (
	minWords       = 8
	wordCountRange = 33
)

var vocabulary = strings.Fields("alder blue canvas dune ember flax grey hemlock indigo jute khaki linen moss navy ochre pine quill rust sand teal umber velvet wool yarn")

// CompletionText returns the text that the engine generates for the messages.
// Its first word is a hash of the messages, so that different chats get
// different completions.
func CompletionText(messages []Message) string { return strings.Join(completionWords(messages), "") }

// completionWords returns the words of the completion, all but the first with
// a leading space.
func completionWords(messages []Message) []string {
	prefixes := messagePrefixes(messages)
	seed := prefixes[len(prefixes)-1].hash
	completion := []string{fmt.Sprintf("%016x", seed)}
	length := minWords + int(seed%wordCountRange)
	if requested := requestedWords(messages); requested > 0 {
		length = requested
	}
	for range length - 1 {
		// 64-bit linear congruential generator with Knuth's MMIX constants.
		seed = seed*6364136223846793005 + 1442695040888963407
		completion = append(completion, " "+vocabulary[(seed>>33)%uint64(len(vocabulary))])
	}
	return completion
}

// LengthRequest returns a suffix for the last message that requests a completion
// of the given number of words.
func LengthRequest(words int) string { return fmt.Sprintf("%s%d", lengthMarker, words) }

const (
	lengthMarker = " length="
	// maxRequestedWords is the longest completion that a message may request.
	maxRequestedWords = 10_000
)

// requestedWords returns the number of words that the last message requests, or 0.
func requestedWords(messages []Message) int {
	if len(messages) == 0 {
		return 0
	}
	content := messages[len(messages)-1].Content
	index := strings.LastIndex(content, lengthMarker)
	if index < 0 {
		return 0
	}
	n, err := strconv.Atoi(content[index+len(lengthMarker):])
	if err != nil || n < 1 || n > maxRequestedWords {
		return 0
	}
	return n
}

// CountTokens returns the number of prompt tokens of the messages: one per word
// and tokensPerMessage per message.
func CountTokens(messages []Message) int {
	prefixes := messagePrefixes(messages)
	return prefixes[len(prefixes)-1].tokens
}

// prefix identifies the first messages of a chat by their hash, with the number
// of their tokens.
type prefix struct {
	hash   uint64
	tokens int
}

// messagePrefixes returns the prefixes of the first 0, 1, ... messages.
func messagePrefixes(messages []Message) []prefix {
	prefixes := make([]prefix, 1, len(messages)+1)
	digest := xxhash.New()
	prefixes[0].hash = digest.Sum64()
	tokens := 0
	for _, m := range messages {
		_, _ = fmt.Fprintf(digest, "%q%q", m.Role, m.Content) // writing to a hash cannot fail
		tokens += len(strings.Fields(m.Content)) + tokensPerMessage
		prefixes = append(prefixes, prefix{hash: digest.Sum64(), tokens: tokens})
	}
	return prefixes
}
