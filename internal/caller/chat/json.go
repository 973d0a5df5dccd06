package chat

import (
	"bytes"
	"encoding/json"
)

// The functions of this file walk JSON that json.Valid has accepted, without
// decoding the values. A value is skipped at the cost of one pass over it.

// forEachMember calls visit for each member of an object, until it returns an
// error. The name is unquoted; name and value are parts of object where
// possible.
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

// forEachElement calls visit for each element of an array, until it returns an
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

// skipComma returns the index of the next member or element, or of the end.
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

// skipValue returns the index after the value that begins at i.
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

// skipString looks for quotes only, since they are rare: a quote ends the
// string unless an odd number of backslashes stands before it.
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

// unquote returns the text of a JSON string, a part of it if it has no escape.
func unquote(text []byte) []byte {
	if bytes.IndexByte(text, '\\') < 0 {
		return text[1 : len(text)-1]
	}
	var s string
	// The text is valid JSON, so that decoding it cannot fail.
	_ = json.Unmarshal(text, &s)
	return []byte(s)
}

// firstByte returns the first byte of a value, which tells its type.
func firstByte(value []byte) byte { return value[0] }
