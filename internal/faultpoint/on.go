//go:build faults

package faultpoint

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errors that each call fails with, in turn at random.
var errorsOf = map[Call][]syscall.Errno{
	Accept: {syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPERM},
	Dial: {syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT},
	Config: {syscall.EMFILE, syscall.EIO, syscall.ENFILE},
	Folder: {syscall.ENOSPC, syscall.EIO, syscall.EMFILE},
	Read:   {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS},
	Write:  {syscall.ENOBUFS, syscall.ENOMEM},
}

type step struct{ by, at time.Duration }

// state is what the variable says.
type state struct {
	mu    sync.Mutex
	rng   *rand.Rand
	parts map[Call]float64
	steps []step
	start time.Time
}

var faults = sync.OnceValue(func() *state {
	s, err := parse(os.Getenv(Variable))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", Variable, err)
		os.Exit(1)
	}
	return s
})

func parse(text string) (*state, error) {
	s := &state{parts: make(map[Call]float64), start: time.Now()}
	seed := uint64(0)
	for _, word := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(word, "=")
		var err error
		switch name {
		case "":
		case "seed":
			seed, err = strconv.ParseUint(value, 10, 64)
		case "step":
			by, at, _ := strings.Cut(value, "@")
			var st step
			if st.by, err = time.ParseDuration(by); err == nil {
				st.at, err = time.ParseDuration(at)
			}
			s.steps = append(s.steps, st)
		default:
			if errorsOf[Call(name)] == nil {
				return nil, fmt.Errorf("unknown call %q", name)
			}
			s.parts[Call(name)], err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	s.rng = rand.New(rand.NewPCG(seed, 9))
	return s, nil
}

// Fail is the error that a call is to fail with; nil: none.
func Fail(call Call) error {
	s := faults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if part := s.parts[call]; part == 0 || s.rng.Float64() >= part {
		return nil
	}
	codes := errorsOf[call]
	return os.NewSyscallError(string(call), codes[s.rng.IntN(len(codes))])
}

// Shorten is how many of n bytes a read may take.
func Shorten(n int) int {
	s := faults()
	s.mu.Lock()
	defer s.mu.Unlock()
	if part := s.parts[Read]; n < 2 || part == 0 || s.rng.Float64() >= part {
		return n
	}
	return 1 + s.rng.IntN(n-1)
}

// WallStep is by how much the wall clock is off.
func WallStep() (off time.Duration) {
	s := faults()
	for _, st := range s.steps {
		if time.Since(s.start) >= st.at {
			off += st.by
		}
	}
	return off
}
