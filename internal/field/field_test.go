package field

import (
	"encoding/json"
	"strings"
	"testing"
)

// decodeSum decodes an object that holds a number, an array of numbers and an object, and returns the sum of the numbers.
func decodeSum(text string) (sum int, err error) {
	dec := json.NewDecoder(strings.NewReader(text))
	err = DecodeObject(dec, func(key string) error {
		switch key {
		case "one":
			n := 0
			err := Decode(dec, key, &n)
			sum += n
			return err
		case "many":
			return DecodeArray(dec, key, func(i int) error {
				n := 0
				err := DecodeEntry(dec, key, i, &n)
				sum += n
				return err
			})
		case "inner":
			var in struct {
				N int `json:"n"`
			}
			err := Decode(dec, key, &in)
			sum += in.N
			return err
		}
		return Decode(dec, key, new(json.RawMessage))
	})
	if err == nil {
		err = ExpectEOF(dec)
	}
	return sum, err
}

func TestStreamsAreDecodedCompletely(t *testing.T) {
	for text, want := range map[string]int{
		`{"one":1,"many":[2,3],"other":{"a":[1]},"inner":{"n":4}}`: 10,
		` {} `: 0, `null`: 0, `{"many":null,"one":null}`: 0, `{"many":[]}`: 0,
	} {
		if got, err := decodeSum(text); got != want || err != nil {
			t.Errorf("%s: %d, %v, want %d", text, got, err, want)
		}
	}
}

// Each error names the field that can't be decoded, and truncated text is never accepted.
func TestStreamErrorsNameTheField(t *testing.T) {
	for text, want := range map[string]string{
		``: "unexpected EOF", `[]`: "want an object, got array", `7`: "want an object, got number", `"x"`: "got string", `true`: "got bool",
		`{"one":"x"}`: "one: want int, got string", `{"one":{}}`: "one: want int, got object",
		`{"many":7}`: "many: want array, got number", `{"many":[1,"x"]}`: "many[1]: want int, got string",
		`{"inner":{"n":"x"}}`: "inner.n: want int, got string", `{"inner":7}`: "inner: want object, got number",
		`{"one":1`: "unexpected EOF", `{"one":`: "one: unexpected EOF", `{"many":[1`: "many: unexpected EOF", `{"many":[1,`: "many[1]: unexpected EOF",
		`{} {}`: "object after the end", `{} 7`: "number after the end", `{}]`: "invalid character",
	} {
		if _, err := decodeSum(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got %v, want an error containing %q", text, err, want)
		}
	}
}

func TestCheckAddress(t *testing.T) {
	for addr, good := range map[string]bool{"127.0.0.1:9": true, "[::1]:65535": true, "host:0": true,
		"": false, "nowhere": false, ":9": false, "host:": false, "host:65536": false, "host:x": false} {
		if err := CheckAddress(addr); (err == nil) != good {
			t.Errorf("%q: %v", addr, err)
		}
	}
}
