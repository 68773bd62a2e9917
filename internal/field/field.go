// Package field decodes the JSON of configurations and server lists, with errors that name the offending field.
package field

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"reflect"
	"strconv"
)

// Unmarshal decodes JSON. Its errors name the field by its JSON name.
func Unmarshal(raw []byte, v any) error {
	err := json.Unmarshal(raw, v)
	if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) && bad.Field != "" {
		return fmt.Errorf("%s: want %s, got %s", bad.Field, bad.Type, bad.Value)
	}
	return err
}

// Decode decodes the next value of a stream into v, as Unmarshal does; name is the field that holds it.
func Decode(dec *json.Decoder, name string, v any) error {
	if err := dec.Decode(v); err != nil {
		return decodeError(name, err)
	}
	return nil
}

// DecodeEntry is Decode for entry i of an array. It formats the entry's name only for an error.
func DecodeEntry(dec *json.Decoder, array string, i int, v any) error {
	if err := dec.Decode(v); err != nil {
		return decodeError(fmt.Sprintf("%s[%d]", array, i), err)
	}
	return nil
}

func decodeError(name string, err error) error {
	if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) {
		if bad.Field != "" {
			name += "." + bad.Field
		}
		want := bad.Type.String()
		if bad.Type.Kind() == reflect.Struct {
			want = "object"
		}
		return fmt.Errorf("%s: want %s, got %s", name, want, bad.Value)
	}
	return fmt.Errorf("%s: %w", name, unexpectedEOF(err))
}

// DecodeObject reads an object from a stream and calls decode for every key, which has to read the key's value.
// As with Unmarshal, null is an object without keys.
func DecodeObject(dec *json.Decoder, decode func(key string) error) error {
	switch t, err := dec.Token(); {
	case err != nil:
		return unexpectedEOF(err)
	case t == nil:
		return nil
	case t != json.Delim('{'):
		return fmt.Errorf("want an object, got %s", tokenKind(t))
	}
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return unexpectedEOF(err)
		}
		if err := decode(key.(string)); err != nil {
			return err
		}
	}
	_, err := dec.Token() // the closing brace, or the error in its place
	return unexpectedEOF(err)
}

// DecodeArray reads an array from a stream and calls decode for every entry, which has to read it. As with Unmarshal,
// null is an array without entries.
func DecodeArray(dec *json.Decoder, name string, decode func(i int) error) error {
	switch t, err := dec.Token(); {
	case err != nil:
		return fmt.Errorf("%s: %w", name, unexpectedEOF(err))
	case t == nil:
		return nil
	case t != json.Delim('['):
		return fmt.Errorf("%s: want array, got %s", name, tokenKind(t))
	}
	for i := 0; dec.More(); i++ {
		if err := decode(i); err != nil {
			return err
		}
	}
	if _, err := dec.Token(); err != nil {
		return fmt.Errorf("%s: %w", name, unexpectedEOF(err))
	}
	return nil
}

// ExpectEOF returns an error if anything but white space follows the value of a stream.
func ExpectEOF(dec *json.Decoder) error {
	switch t, err := dec.Token(); {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	default:
		return fmt.Errorf("%s after the end", tokenKind(t))
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a truncated stream isn't taken for a complete one.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// tokenKind returns the name of a token's JSON type, for error messages.
func tokenKind(t json.Token) string {
	switch t := t.(type) {
	case json.Delim:
		switch t {
		case '[':
			return "array"
		case '{':
			return "object"
		}
		return t.String()
	case string:
		return "string"
	case float64, json.Number:
		return "number"
	case bool:
		return "bool"
	}
	return "null"
}

// CheckAddress returns an error unless addr is a host and a port.
func CheckAddress(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("want host:port, got %q", addr)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil || host == "" {
		return fmt.Errorf("want host:port, got %q", addr)
	}
	return nil
}
