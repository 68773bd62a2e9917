// Package field reads what configurations and lists hold, and names the field that can't be read.
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

// Unmarshal reads JSON. Its errors name the field as the configuration and the protocol name it.
func Unmarshal(raw []byte, to any) error {
	err := json.Unmarshal(raw, to)
	if bad := (*json.UnmarshalTypeError)(nil); errors.As(err, &bad) && bad.Field != "" {
		return fmt.Errorf("%s: want %s, got %s", bad.Field, bad.Type, bad.Value)
	}
	return err
}

// Decode reads the next value from a stream as Unmarshal does; name is the field that holds it.
func Decode(from *json.Decoder, name string, to any) error {
	if err := from.Decode(to); err != nil {
		return decodeError(name, err)
	}
	return nil
}

// DecodeEntry is Decode of the entry i of an array. It makes no name where there is nothing to say.
func DecodeEntry(from *json.Decoder, array string, i int, to any) error {
	if err := from.Decode(to); err != nil {
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
	return fmt.Errorf("%s: %w", name, cutOff(err))
}

// Object reads the next value from a stream, an object, and calls each for every key, to take the key's value.
// As with Unmarshal, null is an object without keys.
func Object(from *json.Decoder, each func(key string) error) error {
	switch t, err := from.Token(); {
	case err != nil:
		return cutOff(err)
	case t == nil:
		return nil
	case t != json.Delim('{'):
		return fmt.Errorf("want an object, got %s", kind(t))
	}
	for from.More() {
		key, err := from.Token()
		if err != nil {
			return cutOff(err)
		}
		if err := each(key.(string)); err != nil {
			return err
		}
	}
	_, err := from.Token() // the end, or what stands in its place
	return cutOff(err)
}

// Array reads the next value from a stream, an array, and calls each for every entry, to take it. As with
// Unmarshal, null is an array without entries.
func Array(from *json.Decoder, name string, each func(i int) error) error {
	switch t, err := from.Token(); {
	case err != nil:
		return fmt.Errorf("%s: %w", name, cutOff(err))
	case t == nil:
		return nil
	case t != json.Delim('['):
		return fmt.Errorf("%s: want array, got %s", name, kind(t))
	}
	for i := 0; from.More(); i++ {
		if err := each(i); err != nil {
			return err
		}
	}
	if _, err := from.Token(); err != nil {
		return fmt.Errorf("%s: %w", name, cutOff(err))
	}
	return nil
}

// End says what is wrong where a stream goes on after its one value.
func End(from *json.Decoder) error {
	switch t, err := from.Token(); {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	default:
		return fmt.Errorf("%s after the end", kind(t))
	}
}

// cutOff keeps a stream that ends too early from looking like one that is over.
func cutOff(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func kind(t json.Token) string {
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

// CheckAddress says what is wrong with an address that should be a host and a port.
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
