package fleetconfig

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a document in bytes. The store accepts values
// of up to 1 MB; the bound leaves room for the encoding of the key.
const MaxBytes = 1000 * 1000

// iniOptions make the INI parser read lines literally: values are not continued
// on the next line, unquoted or cut at comment characters. Repeated keys and
// sections are kept so that they can be reported.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	IgnoreInlineComment:        true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	PreserveSurroundedQuote:    true,
	KeyValueDelimiters:         "=",
	KeyValueDelimiterOnWrite:   "=",
	ChildSectionDelimiter:      "\x00",
}

// section is a parsed section: its values as written and the setters of the valid
// ones.
type section struct {
	values  map[string]string
	setters []setter
}

// Parse parses and validates a document. The error is a Faults with all
// validation errors. An empty text is a valid document with only the built-in
// values.
func Parse(text []byte) (*Document, error) {
	d := &Document{text: bytes.Clone(text), sections: map[sectionID]section{}}
	if faults := checkEncoding(text); len(faults) > 0 {
		return nil, faults
	}
	lines, faults := checkLines(text)
	file, err := ini.LoadSources(iniOptions, lines)
	if err != nil {
		return nil, append(faults, Fault{value: err.Error(), expected: "an INI document"})
	}
	for _, s := range file.Sections() {
		faults = append(faults, d.addSection(s)...)
	}
	faults = append(faults, d.checkColdLimits()...)
	if err := faults.errorOrNil(); err != nil {
		return nil, err
	}
	s := builtInSettings
	d.apply(&s, sectionID{sectionType: "fleet"})
	d.fleet = s.fleet
	d.classes = d.mergeClasses()
	return d, nil
}

// checkEncoding rejects texts that are too large, not UTF-8 or contain control
// characters.
func checkEncoding(text []byte) Faults {
	if len(text) > MaxBytes {
		return Faults{{value: fmt.Sprintf("%d bytes", len(text)), expected: fmt.Sprintf("at most %d bytes", MaxBytes)}}
	}
	if !utf8.Valid(text) {
		return Faults{{value: "invalid byte", expected: "UTF-8 text"}}
	}
	for _, r := range string(text) {
		if unicode.IsControl(r) && !strings.ContainsRune("\n\r\t", r) || r == '\uFEFF' || r == '\u2028' || r == '\u2029' || r == '\u0085' {
			return Faults{{value: fmt.Sprintf("%U", r), expected: "text without control characters"}}
		}
	}
	return nil
}

// checkLines reports lines that are not a comment, a section header or a key, and
// returns the text without them. The INI parser would stop at the first such
// line, and the faults in the rest of the text would not be reported.
func checkLines(text []byte) ([]byte, Faults) {
	var validLines bytes.Buffer
	var faults Faults
	header, inInvalidSection := "", false
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			header = strings.TrimSuffix(line[1:], "]")
			inInvalidSection = false
		}
		expected := checkLine(line)
		if expected != "" && !inInvalidSection {
			faults = append(faults, Fault{section: header, value: line, expected: expected})
			// The keys after an invalid header belong to no known section.
			inInvalidSection = strings.HasPrefix(line, "[")
		}
		if expected == "" && !inInvalidSection {
			validLines.WriteString(line)
		}
		validLines.WriteByte('\n')
	}
	return validLines.Bytes(), faults
}

// checkLine returns "" if a trimmed line is valid, otherwise a description of
// what is expected in its place.
func checkLine(line string) string {
	if line == "" || line[0] == '#' || line[0] == ';' {
		return ""
	}
	if line[0] == '[' {
		if strings.IndexByte(line, ']') != len(line)-1 {
			return "a section header in brackets alone on its line"
		}
		return ""
	}
	key, value, found := strings.Cut(line, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !found || key == "" || key == "-" || strings.ContainsAny(key[:1], "\"`") {
		return "KEY = VALUE, a section header or a comment"
	}
	if strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`") {
		return "a value on one line without block quotes"
	}
	return ""
}

// addSection validates one section of the file and adds it to the document.
func (d *Document) addSection(s *ini.Section) Faults {
	header := s.Name()
	if header == ini.DefaultSection && len(s.Keys()) == 0 {
		return nil
	}
	id, schema, expected := parseSectionHeader(header)
	if expected != "" {
		return Faults{{section: header, value: header, expected: expected}}
	}
	if _, repeated := d.sections[id]; repeated {
		return Faults{{section: header, value: header, expected: "each section only once"}}
	}
	checked := section{values: map[string]string{}}
	var faults Faults
	for _, k := range s.Keys() {
		faults = append(faults, checked.addKey(header, schema.scope, k)...)
	}
	d.sections[id] = checked
	return append(faults, checked.checkRequiredKeys(id)...)
}

// addKey validates one key and adds it to the section. scope is the type of the
// section.
func (s *section) addKey(header string, scope scope, k *ini.Key) Faults {
	fault := Fault{section: header, key: k.Name(), value: k.Value()}
	schema, ok := keySchemas[k.Name()]
	if !ok || schema.scope&scope == 0 {
		fault.expected = "one of " + strings.Join(allowedKeys(scope), ", ")
		return Faults{fault}
	}
	if values := k.ValueWithShadows(); len(values) > 1 {
		fault.value, fault.expected = strings.Join(values, ", "), "each key only once in a section"
		return Faults{fault}
	}
	s.values[k.Name()] = k.Value()
	set, ok := schema.valueType.parse(k.Value())
	if !ok {
		fault.expected = schema.valueType.expected
		return Faults{fault}
	}
	s.setters = append(s.setters, set)
	return nil
}

// checkRequiredKeys rejects exceptions without a reason, and exceptions of a
// failure domain that do not set out.
func (s section) checkRequiredKeys(id sectionID) Faults {
	if id.sectionType != "exception" {
		return nil
	}
	var faults Faults
	if _, given := s.values["reason"]; !given {
		faults = append(faults, Fault{id.header(), "reason", "", "a reason, which every exception must state"})
	}
	if _, given := s.values["out"]; !given && id.kind == KindFailureDomain {
		faults = append(faults, Fault{id.header(), "out", "", "true"})
	}
	return faults
}

// checkColdLimits rejects sections whose cold_limit is not below max_load. If a
// section sets only one of the two, the other is taken from the defaults for a
// service, and the check is skipped for other sections: they are merged with
// sections of upstreams that the document does not contain.
func (d *Document) checkColdLimits() Faults {
	var faults Faults
	for _, id := range d.sectionIDs() {
		values := d.sections[id].values
		if values["cold_limit"] == "" && values["max_load"] == "" {
			continue
		}
		comparesWithDefaults := id.sectionType == "defaults" || id.sectionType == "service"
		if !comparesWithDefaults && (values["cold_limit"] == "" || values["max_load"] == "") {
			continue
		}
		s := builtInSettings
		d.apply(&s, sectionID{sectionType: "defaults"}, id)
		if s.policy.coldLimit >= s.policy.maxLoad {
			faults = append(faults, Fault{
				id.header(), "cold_limit", fmt.Sprint(s.policy.coldLimit),
				fmt.Sprintf("less than max_load, which is %d", s.policy.maxLoad),
			})
		}
	}
	return faults
}
