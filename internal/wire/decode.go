// Package wire translates between the simulator's line protocol and the types of package policy.
// It makes no routing decisions. Read Decoder first, then AppendAction in encode.go and DecodeSettings in settings.go.
package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"cobaltward/policy"
)

// Kind is the kind of a decoded line.
type Kind uint8

// The kinds of decoded lines.
const (
	BeginBatch Kind = iota // begins a batch; Now is set
	EndBatch               // ends a batch
	ListStored             // a list was stored in its slot; nothing to dispatch
	Configure              // Node, Seed and Settings are set
	Shutdown               // Node is set
	Event                  // Node and Event are set
)

// Line is one decoded line. Its Kind determines which fields are set.
type Line struct {
	Kind     Kind
	Now      policy.Time
	Node     int
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// listSlots is the number of slots for member lists in the protocol.
const listSlots = 16

// maxInterned is the maximum number of interned strings. The table needs a bound, because new server names keep
// appearing.
const maxInterned = 1 << 14

// Decoder decodes lines. It stores the member lists, which the protocol sends once for all instances.
// The zero value is ready to use.
type Decoder struct {
	parser      fastjson.Parser
	lists       [listSlots][]policy.Member
	stored      [listSlots]bool
	internTable map[string]string
}

// Decode decodes one line. Errors name the message and the field.
func (d *Decoder) Decode(line []byte) (Line, error) {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return Line{}, fmt.Errorf("not JSON: %w", firstLine(err))
	}
	if v.Type() != fastjson.TypeArray {
		return Line{}, fmt.Errorf("message: want an array, got %s", v.Type())
	}
	vals := v.GetArray()
	if len(vals) == 0 || vals[0].Type() != fastjson.TypeString {
		return Line{}, fmt.Errorf("message: want a message name as the first element")
	}
	f := fieldReader{values: vals[1:], decoder: d}
	name := string(vals[0].GetStringBytes())
	l, err := d.decodeMessage(name, &f)
	if err == nil {
		err = f.err
	}
	if err != nil {
		return Line{}, fmt.Errorf("%s: %w", escapeName(name), err)
	}
	return l, nil
}

func (d *Decoder) decodeMessage(name string, f *fieldReader) (Line, error) {
	switch name {
	case "mark":
		return Line{Kind: BeginBatch, Now: f.duration(0, "clock")}, nil
	case "eob":
		return Line{Kind: EndBatch}, nil
	case "list":
		return Line{Kind: ListStored}, d.storeList(f)
	}
	l := Line{Kind: Event, Node: f.int(0, "node")}
	switch name {
	case "configure":
		l.Kind, l.Seed = Configure, f.uint(1, "randomSeed")
		conf := f.required(2, "conf", fastjson.TypeObject)
		if conf == nil {
			return l, nil
		}
		s, err := decodeSettings(conf)
		if err != nil {
			return l, fmt.Errorf("conf: %w", err)
		}
		l.Settings = s
	case "shutdown":
		l.Kind = Shutdown
	case "ingress":
		l.Event = f.request()
	case "completed":
		l.Event = f.outcome()
	case "reminder":
		l.Event = policy.Timer{Token: f.uint(1, "token")}
	case "lapsed":
		l.Event = policy.ClientGone{ID: f.str(1, "ticket")}
	case "headers":
		l.Event = policy.FirstByte{ID: f.str(1, "ticket"), Attempt: f.int(2, "roundNo"),
			Latency: f.duration(3, "waitTime"), Server: f.internedStr(4, "server")}
	case "healthResult":
		l.Event = policy.ProbeResult{Latency: f.duration(1, "waitTime"), Code: f.code(2),
			Server: f.internedStr(3, "server"), Report: f.loadReport(4)}
	case "neighbourSays":
		l.Event = policy.PeerMessage{From: f.int(1, "from"), Body: f.str(2, "body")}
	case "peersKnown":
		ev, err := d.decodeMemberList(f)
		if err != nil {
			return l, err
		}
		l.Event = ev
	default:
		return l, fmt.Errorf("unknown message")
	}
	return l, nil
}

func (f *fieldReader) request() policy.Request {
	return policy.Request{
		ID: f.str(1, "ticket"), Class: f.internedStr(2, "cls"), Tenant: f.optInternedStr(3, "team"),
		Key: f.optStr(4, "object"), ExpiresIn: f.duration(5, "expiresIn"), CostHint: f.optDuration(6, "effort"),
		Retry: f.optBool(7, "isRetry"), Write: f.optBool(8, "update"),
	}
}

func (f *fieldReader) outcome() policy.Outcome {
	return policy.Outcome{
		ID: f.str(1, "ticket"), Attempt: f.int(2, "roundNo"), Server: f.internedStr(3, "server"),
		Code: f.code(4), Latency: f.duration(5, "waitTime"), Ended: f.optBool(6, "doneFlag"), Report: f.loadReport(7),
	}
}

var outcomeCodes = map[string]policy.Code{
	"done": policy.OK, "err": policy.ServerError, "busy": policy.Full, "etimedout": policy.TimedOut,
	"econnrefused": policy.ConnectFailed, "econnreset": policy.Reset,
	"ecanceled": policy.Cancelled, "skipped": policy.NotSent,
}

func (f *fieldReader) code(i int) policy.Code {
	s := f.internedStr(i, "rc")
	c, ok := outcomeCodes[s]
	if !ok {
		f.fail("rc", "unknown outcome code %q", s)
	}
	return c
}

func (d *Decoder) listSlot(f *fieldReader, i int) int {
	n := f.int(i, "buffer")
	if f.err == nil && (n < 0 || n >= listSlots) {
		f.fail("buffer", "want 0 to %d, got %d", listSlots-1, n)
		return 0
	}
	return n
}

func (d *Decoder) storeList(f *fieldReader) error {
	n := d.listSlot(f, 0)
	records := f.required(1, "records", fastjson.TypeArray)
	if f.err != nil {
		return f.err
	}
	// Allocate a new slice each time: instances may still be reading the old one.
	entries := make([]policy.Member, 0, len(records.GetArray()))
	for i, r := range records.GetArray() {
		m, err := d.decodeMember(r)
		if err != nil {
			return fmt.Errorf("records[%d].%w", i, err)
		}
		entries = append(entries, m)
	}
	d.lists[n], d.stored[n] = entries, true
	return nil
}

func (d *Decoder) decodeMember(v *fastjson.Value) (policy.Member, error) {
	if v.Type() != fastjson.TypeArray {
		return policy.Member{}, fmt.Errorf("entry: want an array, got %s", v.Type())
	}
	f := fieldReader{values: v.GetArray(), decoder: d}
	m := policy.Member{OnlineSince: f.optDuration(0, "onlineSince"), Weight: 1, Kind: f.optInternedStr(3, "classOfHost"),
		Zone: f.optInternedStr(4, "campus"), Server: f.internedStr(6, "server")}
	switch s := f.internedStr(1, "availability"); s {
	case "Running":
	case "Stopping":
		m.Availability = policy.Draining
	case "Deleted":
		m.Availability = policy.Removed
	default:
		f.fail("availability", "unknown state %q", s)
	}
	if w := f.optional(2, "weight", fastjson.TypeNumber); w != nil {
		m.Weight = w.GetFloat64()
	}
	if c := f.optional(5, "cluster", fastjson.TypeNumber); c != nil {
		m.Cell = c.GetInt64()
	}
	return m, f.err
}

var listKinds = map[string]policy.ListKind{
	"replace": policy.ListReplace, "update": policy.ListUpdate,
	"restored": policy.ListRestored, "unavailable": policy.ListUnavailable,
}

func (d *Decoder) decodeMemberList(f *fieldReader) (policy.MemberList, error) {
	how := f.internedStr(1, "how")
	kind, ok := listKinds[how]
	if f.err == nil && !ok {
		f.fail("how", "unknown kind %q", how)
	}
	if f.err != nil || kind == policy.ListUnavailable {
		return policy.MemberList{Kind: kind}, f.err
	}
	n := d.listSlot(f, 3)
	if f.err == nil && !d.stored[n] {
		f.fail("buffer", "list %d was never sent", n)
	}
	return policy.MemberList{Kind: kind, Members: d.lists[n]}, f.err
}

// fieldReader reads the values of a message by position and keeps the first error.
type fieldReader struct {
	values  []*fastjson.Value
	decoder *Decoder
	err     error
}

func (f *fieldReader) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...))
	}
}

// optional returns the value at position i, or nil if it is absent or null.
func (f *fieldReader) optional(i int, field string, want fastjson.Type) *fastjson.Value {
	if i >= len(f.values) || f.values[i].Type() == fastjson.TypeNull {
		return nil
	}
	v := f.values[i]
	if v.Type() != want {
		f.fail(field, "want %s, got %s", want, v.Type())
		return nil
	}
	return v
}

func (f *fieldReader) required(i int, field string, want fastjson.Type) *fastjson.Value {
	v := f.optional(i, field, want)
	if v == nil {
		f.fail(field, "missing")
	}
	return v
}

func (f *fieldReader) str(i int, field string) string {
	return stringValue(f.required(i, field, fastjson.TypeString))
}

func (f *fieldReader) optStr(i int, field string) string {
	return stringValue(f.optional(i, field, fastjson.TypeString))
}

func stringValue(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// internedStr reads a string that occurs in many messages, such as a server's name, without copying it each time.
func (f *fieldReader) internedStr(i int, field string) string {
	return f.decoder.intern(f.required(i, field, fastjson.TypeString))
}

func (f *fieldReader) optInternedStr(i int, field string) string {
	return f.decoder.intern(f.optional(i, field, fastjson.TypeString))
}

func (d *Decoder) intern(v *fastjson.Value) string {
	if v == nil {
		return ""
	}
	b := v.GetStringBytes()
	if s, ok := d.internTable[string(b)]; ok {
		return s
	}
	if d.internTable == nil || len(d.internTable) >= maxInterned {
		d.internTable = make(map[string]string)
	}
	s := string(b)
	d.internTable[s] = s
	return s
}

func (f *fieldReader) int(i int, field string) int {
	v := f.required(i, field, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Int()
	if err != nil {
		f.fail(field, "want a whole number, got %s", v)
	}
	return n
}

func (f *fieldReader) uint(i int, field string) uint64 {
	v := f.required(i, field, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n, err := v.Uint64()
	if err != nil {
		f.fail(field, "want a whole number of 0 or more, got %s", v)
	}
	return n
}

func (f *fieldReader) duration(i int, field string) time.Duration {
	return f.toDuration(f.required(i, field, fastjson.TypeNumber), field)
}

func (f *fieldReader) optDuration(i int, field string) time.Duration {
	return f.toDuration(f.optional(i, field, fastjson.TypeNumber), field)
}

func (f *fieldReader) toDuration(v *fastjson.Value, field string) time.Duration {
	if v == nil {
		return 0
	}
	ms := v.GetFloat64()
	if ms != ms || math.Abs(ms) > maxMs {
		f.fail(field, "out of range: %s", v)
		return 0
	}
	return durationFromMs(ms)
}

// maxMs is the largest accepted time in milliseconds (about 146 years), half of what a Duration can hold.
const maxMs = math.MaxInt64 / 2e6

// durationFromMs converts the protocol's milliseconds to a Duration, rounded to the protocol's resolution of 1 µs.
func durationFromMs(ms float64) time.Duration {
	return time.Duration(math.Round(ms*1e3)) * time.Microsecond
}

func (f *fieldReader) optBool(i int, field string) bool {
	if i >= len(f.values) {
		return false
	}
	switch f.values[i].Type() {
	case fastjson.TypeTrue:
		return true
	case fastjson.TypeFalse, fastjson.TypeNull:
		return false
	}
	f.fail(field, "want a bool, got %s", f.values[i].Type())
	return false
}

func (f *fieldReader) loadReport(i int) []float64 {
	v := f.optional(i, "metrics", fastjson.TypeArray)
	if v == nil {
		return nil
	}
	values := make([]float64, 0, len(v.GetArray()))
	for _, element := range v.GetArray() {
		number := math.NaN() // marks an absent value
		if element.Type() == fastjson.TypeNumber {
			number = element.GetFloat64()
		} else if element.Type() != fastjson.TypeNull {
			f.fail("metrics", "want numbers, got %s", element.Type())
		}
		values = append(values, number)
	}
	return values
}

// escapeName escapes a message name for an error text, so that it is a single printable line of bounded length.
func escapeName(name string) string {
	const maxLen = 60 // bytes; all valid names are shorter
	quoted := strings.Trim(strconv.Quote(name), `"`)
	return quoted[:min(len(quoted), maxLen)]
}

// firstLine truncates a parser's error to its first line, and to a bounded length.
func firstLine(err error) error {
	const maxLen = 200 // bytes; the parser may quote the whole input line
	s := err.Error()
	for i := 0; i < len(s); i++ {
		if s[i] == '\n' || i == maxLen {
			return fmt.Errorf("%s", s[:i])
		}
	}
	return err
}
