package chat

import (
	"bytes"
	"encoding/json"
)

// The functions in this file scan JSON that json.Valid has accepted, without
// decoding it. Skipping a value costs one pass over its bytes.

// forEachMember calls visit for each member of an object and stops at the first
// error. The name is unquoted. The value is a subslice of object, as is the name
// if it has no escapes.
func forEachMember(object []byte, visit func(name, value []byte) error) error {
	i := skipSpace(object, 1)
	for i < len(object) && object[i] != '}' {
		end := skipValue(object, i)
		name := unquote(object[i:end])
		i = skipSpace(object, end) + 1 // the colon
		i = skipSpace(object, i)
		end = skipValue(object, i)
		if err := visit(name, object[i:end]); err != nil {
			return err
		}
		i = skipComma(object, end)
	}
	return nil
}

// forEachElement calls visit for each element of an array and stops at the first
// error.
func forEachElement(array []byte, visit func(value []byte) error) error {
	i := skipSpace(array, 1)
	for i < len(array) && array[i] != ']' {
		end := skipValue(array, i)
		if err := visit(array[i:end]); err != nil {
			return err
		}
		i = skipComma(array, end)
	}
	return nil
}

// skipComma returns the index of the next member or element, or of the closing
// bracket. Index i is right after a value.
func skipComma(text []byte, i int) int {
	i = skipSpace(text, i)
	if i < len(text) && text[i] == ',' {
		i = skipSpace(text, i+1)
	}
	return i
}

func skipSpace(text []byte, i int) int {
	for i < len(text) && (text[i] == ' ' || text[i] == '\n' || text[i] == '\t' || text[i] == '\r') {
		i++
	}
	return i
}

// skipValue returns the index after the value that starts at i.
func skipValue(text []byte, i int) int {
	switch text[i] {
	case '"':
		return skipString(text, i)
	case '{', '[':
		return skipNested(text, i)
	}
	for i < len(text) && !bytes.ContainsRune([]byte(",]} \n\t\r"), rune(text[i])) {
		i++
	}
	return i
}

// skipString returns the index after the string that starts at i. It searches
// for quotes only, since they are rare: a quote ends the string unless an odd
// number of backslashes precedes it.
func skipString(text []byte, i int) int {
	start := i + 1
	for i = start; i < len(text); i++ {
		n := bytes.IndexByte(text[i:], '"')
		if n < 0 {
			break
		}
		i += n
		escapes := 0
		for j := i - 1; j >= start && text[j] == '\\'; j-- {
			escapes++
		}
		if escapes%2 == 0 {
			return i + 1
		}
	}
	return len(text)
}

func skipNested(text []byte, i int) int {
	depth := 0
	for i < len(text) {
		switch text[i] {
		case '"':
			i = skipString(text, i)
			continue
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		i++
		if depth == 0 {
			break
		}
	}
	return i
}

// unquote returns the decoded JSON string, as a subslice of text if it has no
// escapes.
func unquote(text []byte) []byte {
	if bytes.IndexByte(text, '\\') < 0 {
		return text[1 : len(text)-1]
	}
	var s string
	// Decoding cannot fail, since the text is valid JSON.
	_ = json.Unmarshal(text, &s)
	return []byte(s)
}

// firstByte returns the first byte of a value, which identifies its JSON type.
func firstByte(value []byte) byte { return value[0] }
