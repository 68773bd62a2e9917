package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"cobaltward/internal/field"
	"cobaltward/policy"
)

// object reads the values of a JSON object by key and keeps the first error. Unknown keys are ignored, and an absent
// or null key yields the zero value.
type object struct {
	v    *fastjson.Value
	path string
	err  *error
}

func (o object) get(key string, want ...fastjson.Type) *fastjson.Value {
	v := o.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	for _, t := range want {
		if v.Type() == t {
			return v
		}
	}
	o.fail(key, fmt.Sprintf("want %s, got %s", want[0], v.Type()))
	return nil
}

func (o object) fail(key, problem string) {
	if *o.err == nil {
		*o.err = fmt.Errorf("%s%s: %s", o.path, key, problem)
	}
}

func (o object) child(key string) object {
	return object{v: o.get(key, fastjson.TypeObject), path: o.path + key + ".", err: o.err}
}

func (o object) each(key string, decode func(object)) {
	v := o.get(key, fastjson.TypeArray)
	if v == nil {
		return
	}
	for i, element := range v.GetArray() {
		path := fmt.Sprintf("%s%s[%d]", o.path, key, i)
		if element.Type() != fastjson.TypeObject {
			object{path: path, err: o.err}.fail("", "want object, got "+element.Type().String())
			return
		}
		decode(object{v: element, path: path + ".", err: o.err})
	}
}

func (o object) num(key string) float64 {
	if v := o.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return 0
}

func (o object) int(key string) int {
	n := o.num(key)
	if n != math.Trunc(n) || math.Abs(n) > math.MaxInt32 {
		o.fail(key, "want a whole number")
		return 0
	}
	return int(n)
}

func (o object) duration(key string) time.Duration {
	n := o.num(key)
	if math.Abs(n) > maxMs {
		o.fail(key, "out of range")
		return 0
	}
	return durationFromMs(n)
}

func (o object) strs(key string) []string {
	v := o.get(key, fastjson.TypeArray)
	if v == nil {
		return nil
	}
	var list []string
	for i, element := range v.GetArray() {
		if element.Type() != fastjson.TypeString {
			o.fail(fmt.Sprintf("%s[%d]", key, i), "want string, got "+element.Type().String())
			return nil
		}
		list = append(list, stringValue(element))
	}
	return list
}

func (o object) str(key string) string { return stringValue(o.get(key, fastjson.TypeString)) }

func (o object) bool(key string) bool {
	v := o.get(key, fastjson.TypeTrue, fastjson.TypeFalse)
	return v != nil && v.Type() == fastjson.TypeTrue
}

// enumValue looks up the string at key in a table. An absent key selects the table's entry for "".
func enumValue[T any](o object, key string, table map[string]T) T {
	s := o.str(key)
	value, ok := table[s]
	if !ok {
		o.fail(key, fmt.Sprintf("unknown word %q", s))
	}
	return value
}

var (
	repeatPolicies = map[string]policy.Repeat{"": policy.Never, "single_shot": policy.Never,
		"guarded": policy.Guarded, "free": policy.Free}
	groupScopes = map[string]policy.Group{"": policy.GroupCell, "cell": policy.GroupCell,
		"zone": policy.GroupZone, "all": policy.GroupAll}
	subscribeByMode = map[string]bool{"": false, "automatic": false, "subscribe": true}
	worthByWork     = map[string]bool{"": false, "request": false, "work": true}
)

// DecodeSettings reads the settings object of a node's configuration from a stream. Services and tenants may be many,
// so only the text of one entry is held at a time. The other keys are returned as well, as the text of a JSON object.
func DecodeSettings(from *json.Decoder) (policy.Settings, []byte, error) {
	var classes []policy.Class
	var tenants []policy.Tenant
	var parser fastjson.Parser
	var raw json.RawMessage // reused for each entry
	decodeEntry := func(array string, i int, decode func(object)) error {
		if err := field.DecodeEntry(from, array, i, &raw); err != nil {
			return err
		}
		v, err := parser.ParseBytes(raw)
		if err != nil {
			return fmt.Errorf("%s[%d]: not JSON: %w", array, i, firstLine(err))
		}
		path := fmt.Sprintf("%s[%d]", array, i)
		if v.Type() != fastjson.TypeObject {
			return fmt.Errorf("%s: want object, got %s", path, v.Type())
		}
		decode(object{v: v, path: path + ".", err: &err})
		return err
	}
	rest := []byte{'{'}
	err := field.DecodeObject(from, func(key string) error {
		switch key {
		case "services":
			return field.DecodeArray(from, key, func(i int) error {
				return decodeEntry(key, i, func(o object) { classes = append(classes, decodeClass(o)) })
			})
		case "tenants":
			return field.DecodeArray(from, key, func(i int) error {
				return decodeEntry(key, i, func(o object) { tenants = append(tenants, decodeTenant(o)) })
			})
		}
		if err := field.Decode(from, key, &raw); err != nil {
			return err
		}
		if len(rest) > 1 {
			rest = append(rest, ',')
		}
		name, err := json.Marshal(key)
		rest = append(append(append(rest, name...), ':'), raw...)
		return err
	})
	if err != nil {
		return policy.Settings{}, nil, err
	}
	rest = append(rest, '}')
	v, err := parser.ParseBytes(rest)
	if err != nil {
		return policy.Settings{}, nil, fmt.Errorf("not JSON: %w", firstLine(err))
	}
	s, err := decodeSettings(v)
	s.Classes, s.Tenants = classes, tenants
	return s, rest, err
}

// decodeSettings decodes a settings object, as in a configure message.
func decodeSettings(conf *fastjson.Value) (policy.Settings, error) {
	var err error
	o := object{v: conf, err: &err}
	s := policy.Settings{
		Node: o.int("position"), Nodes: o.int("groupSize"), Zone: o.str("zone"),
		Subscribe: enumValue(o, "registryMode", subscribeByMode),
		WarmKeys:  o.child("familyInfo").bool("warmKeys"), WorthByWork: enumValue(o, "worthBy", worthByWork),
	}
	o.each("services", func(c object) { s.Classes = append(s.Classes, decodeClass(c)) })
	o.each("tenants", func(t object) { s.Tenants = append(s.Tenants, decodeTenant(t)) })
	limits := o.child("limits")
	s.Allowed = policy.Allowed{
		Cancel: limits.bool("cancelling"), Hedge: limits.bool("secondCopies"), Probe: limits.bool("probes"),
		Peers: limits.bool("peerMessages"), RetryAfter: limits.bool("retryAfter"),
		MaxAttempts: limits.int("maxAttempts"), MaxRetryAfter: limits.duration("maxRetryAfter"),
		ConnIdle: limits.duration("connIdle"),
	}
	guarantees := o.child("guarantees")
	s.Rules = policy.Rules{
		AnswerGrace: guarantees.duration("graceToAnswer"), DrainGrace: guarantees.duration("drainGrace"),
		ColdShare: guarantees.num("coldShare"), ColdFor: guarantees.duration("cold"),
		OverloadMultiple: guarantees.num("fallMultiple"), OverloadFor: guarantees.duration("overloadFor"),
		ListRefreshWithin: guarantees.duration("mustAskIn"), AttemptBudget: decodeBudget(guarantees),
	}
	s.Report = o.child("report").strs("fields")
	return s, err
}

func decodeClass(o object) policy.Class {
	return policy.Class{
		Name: o.str("name"), Aim: o.duration("aim"), AimStretch: o.num("aimStretch"), Deadline: o.duration("deadline"),
		Repeat: enumValue(o, "repeat", repeatPolicies), Group: enumValue(o, "group", groupScopes), Window: o.duration("window"),
		LateWorth: o.num("lateWorth"), Worth: o.num("value"), Stream: o.bool("stream"),
		Kinds: o.strs("servedOn"), Zones: o.strs("localitiesOnly"),
	}
}

func decodeTenant(o object) policy.Tenant {
	return policy.Tenant{Name: o.str("name"), Quota: o.num("quotaRps"), Share: o.num("fraction")}
}

// decodeBudget decodes the budget for attempts beyond a request's first. The rule applies if any of its three keys is
// present; otherwise the result is nil.
func decodeBudget(guarantees object) *policy.AttemptBudget {
	number := fastjson.TypeNumber
	if guarantees.get("minExtra", number) == nil && guarantees.get("budgetShare", number) == nil &&
		guarantees.get("ratioSpan", number) == nil {
		return nil
	}
	return &policy.AttemptBudget{MinExtra: guarantees.num("minExtra"), ExtraShare: guarantees.num("budgetShare"),
		Span: guarantees.duration("ratioSpan")}
}
