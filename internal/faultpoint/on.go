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

// errnos holds the errors injected into each call, one of which is chosen at random.
var errnos = map[Call][]syscall.Errno{
	Accept: {syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
		syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.EPERM},
	Dial: {syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENFILE, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.EHOSTUNREACH, syscall.ETIMEDOUT},
	Config: {syscall.EMFILE, syscall.EIO, syscall.ENFILE},
	Folder: {syscall.ENOSPC, syscall.EIO, syscall.EMFILE},
	Read:   {syscall.EINTR, syscall.ENOMEM, syscall.ENOBUFS},
	Write:  {syscall.ENOBUFS, syscall.ENOMEM},
}

// step changes the wall clock by offset at a time after the start.
type step struct{ offset, at time.Duration }

// injector holds the faults that the environment variable configures.
type injector struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rates map[Call]float64
	steps []step
	start time.Time
}

var faults = sync.OnceValue(func() *injector {
	inj, err := parse(os.Getenv(EnvVar))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", EnvVar, err)
		os.Exit(1)
	}
	return inj
})

func parse(text string) (*injector, error) {
	inj := &injector{rates: make(map[Call]float64), start: time.Now()}
	seed := uint64(0)
	for _, item := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(item, "=")
		var err error
		switch name {
		case "":
		case "seed":
			seed, err = strconv.ParseUint(value, 10, 64)
		case "step":
			offset, at, _ := strings.Cut(value, "@")
			var st step
			if st.offset, err = time.ParseDuration(offset); err == nil {
				st.at, err = time.ParseDuration(at)
			}
			inj.steps = append(inj.steps, st)
		default:
			if errnos[Call(name)] == nil {
				return nil, fmt.Errorf("unknown call %q", name)
			}
			inj.rates[Call(name)], err = strconv.ParseFloat(value, 64)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	}
	inj.rng = rand.New(rand.NewPCG(seed, 9))
	return inj, nil
}

// Fail returns the error to inject into a call, or nil.
func Fail(call Call) error {
	inj := faults()
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if rate := inj.rates[call]; rate == 0 || inj.rng.Float64() >= rate {
		return nil
	}
	codes := errnos[call]
	return os.NewSyscallError(string(call), codes[inj.rng.IntN(len(codes))])
}

// ShortenRead returns how many of n bytes a read may request.
func ShortenRead(n int) int {
	inj := faults()
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if rate := inj.rates[Read]; n < 2 || rate == 0 || inj.rng.Float64() >= rate {
		return n
	}
	return 1 + inj.rng.IntN(n-1)
}

// WallOffset returns the current offset of the wall clock.
func WallOffset() (offset time.Duration) {
	inj := faults()
	for _, st := range inj.steps {
		if time.Since(inj.start) >= st.at {
			offset += st.offset
		}
	}
	return offset
}
