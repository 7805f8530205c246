package spec

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
)

// checkText adds the errors that encoding/json silently ignores: duplicate fields (the
// last would win), content after the first value, and deep nesting. It also reports
// invalid JSON with line and column.
func checkText(problems *problemList, data []byte) {
	s := &textScanner{decoder: json.NewDecoder(bytes.NewReader(data)), problems: problems}
	s.decoder.UseNumber()
	err := s.value("", 0)
	if err == nil {
		err = s.end()
	}
	if err == nil || errors.Is(err, errTooDeep) {
		return
	}
	line, column := position(data, s.offset(err))
	problems.add("", "correct the JSON text there", "not valid JSON at line %d, column %d: %v", line, column, err)
}

var (
	errTooDeep  = errors.New("nested too deeply")
	errTrailing = errors.New("content behind the end of the object")
)

// textScanner finds errors in JSON text that a decoder ignores.
type textScanner struct {
	decoder  *json.Decoder
	problems *problemList
}

// offset returns the byte offset at which err arose.
func (s *textScanner) offset(err error) int64 {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return syntax.Offset
	}
	return s.decoder.InputOffset()
}

// end reports an error unless the input ends here.
func (s *textScanner) end() error {
	switch _, err := s.decoder.Token(); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	default:
		return errTrailing
	}
}

// value reads one JSON value at path.
func (s *textScanner) value(path string, depth int) error {
	token, err := s.decoder.Token()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	if depth >= maxDepth {
		s.problems.add(path, "remove the inner values", "nested more than %d levels deep", maxDepth)
		return errTooDeep
	}
	switch token {
	case json.Delim('{'):
		return s.object(path, depth)
	case json.Delim('['):
		return s.array(path, depth)
	default:
		return nil
	}
}

// object reads the rest of an object and adds duplicate fields.
func (s *textScanner) object(path string, depth int) error {
	seen := make(map[string]bool)
	for s.decoder.More() {
		token, err := s.decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		field := joinField(path, key)
		if seen[key] {
			s.problems.add(field, "keep one of the two", "field %q is given twice", key)
		}
		seen[key] = true
		if err := s.value(field, depth+1); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

// array reads the rest of an array.
func (s *textScanner) array(path string, depth int) error {
	for i := 0; s.decoder.More(); i++ {
		if err := s.value(joinIndex(path, i), depth+1); err != nil {
			return err
		}
	}
	_, err := s.decoder.Token()
	return err
}

func joinField(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

func joinIndex(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }

// position converts a byte offset to line and column, both starting at 1.
func position(data []byte, offset int64) (line, column int) {
	offset = min(max(offset, 0), int64(len(data)))
	before := data[:offset]
	return 1 + bytes.Count(before, []byte{'\n'}), len(before) - bytes.LastIndexByte(before, '\n')
}
