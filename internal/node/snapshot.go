package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"cobaltward/internal/discovery"
	"cobaltward/internal/field"
	"cobaltward/policy"
)

// legacy is what a process leaves to its successor.
type legacy struct {
	Saved    time.Time
	Standby  bool
	Revision int64
	Members  []discovery.Member
	Policy   policy.Memory
	// Connections that the process may have open yet, for the two are held to one node's descriptors.
	Clients, Servers int
}

// encodeLegacy writes one line with the version and a checksum, and the rest as JSON.
func encodeLegacy(l legacy) ([]byte, error) {
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	head := fmt.Sprintf("wayhold %d %08x\n", handoverVersion, checksum(raw))
	return append([]byte(head), raw...), nil
}

func checksum(raw []byte) uint32 { return crc32.ChecksumIEEE(raw) }

func decodeLegacy(raw []byte, now time.Time) (legacy, error) {
	head, raw, _ := bytes.Cut(raw, []byte("\n"))
	if want := fmt.Sprintf("wayhold %d %08x", handoverVersion, checksum(raw)); string(head) != want {
		return legacy{}, fmt.Errorf("begins with %.40q, want %q", head, want)
	}
	var l legacy
	if err := json.Unmarshal(raw, &l); err != nil {
		return legacy{}, err
	}
	if age := now.Sub(l.Saved); age > rememberFor || age < -rememberFor {
		return legacy{}, fmt.Errorf("written %v ago", age)
	}
	for i, m := range l.Members {
		if m.Server == "" || m.Availability > policy.Removed || m.UpSince < 0 || m.UpSince >= 1<<53 {
			return legacy{}, fmt.Errorf("members[%d] makes no sense", i)
		}
		if err := field.CheckAddress(m.Addr); err != nil {
			return legacy{}, fmt.Errorf("members[%d]: %w", i, err)
		}
	}
	if l.Clients < 0 || l.Servers < 0 {
		return legacy{}, errors.New("connections below 0")
	}
	return l, nil
}
