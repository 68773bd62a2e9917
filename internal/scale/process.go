package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

const (
	maxChildren = 300             // processes of a step
	endWithin   = 3 * time.Second // of a child whose input is closed; then it is killed
)

// starter starts processes from one thread that never ends: the kernel kills a child with the thread that
// started it.
var starter = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// start starts c so that it ends with this process, and out of reach of the terminal's signals.
func start(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	failed := make(chan error)
	starter() <- func() { failed <- c.Start() }
	return <-failed
}

// child is a process of this program that answers calls over its standard input and output.
type child struct {
	*rpc.Client
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
}

// pipes joins the two ends of a process.
type pipes struct {
	io.Reader
	io.WriteCloser
}

// startChild runs "scalerun child kind" from the given program.
func startChild(program, kind string) (*child, error) {
	cmd := exec.Command(program, "child", kind)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := start(cmd); err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	c := &child{Client: jsonrpc.NewClient(pipes{out, in}), name: kind, cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(c.done)
	}()
	return c, nil
}

// call waits for the answer, or for ctx.
func (c *child) call(ctx context.Context, method string, args, reply any) error {
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if errors.Is(call.Error, rpc.ErrShutdown) || errors.Is(call.Error, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: the process has ended", c.name)
	}
	if call.Error != nil {
		return fmt.Errorf("%s: %w", c.name, call.Error)
	}
	return nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// end closes the child's input, and kills it if it stays.
func (c *child) end() {
	_ = c.Close()
	select {
	case <-c.done:
	case <-time.After(endWithin):
		_ = c.cmd.Process.Kill()
		<-c.done
	}
}

// ServeChild answers the parent's calls until it closes the input. The kinds are registry, transcribers and
// hollow.
func ServeChild(kind string) error {
	services := map[string]func() any{
		"registry":     func() any { return &registryService{} },
		"transcribers": func() any { return &transcribersService{} },
		"hollow":       func() any { return newHollowService() },
	}
	service, ok := services[kind]
	if !ok {
		return fmt.Errorf("child %q: want registry, transcribers or hollow", kind)
	}
	s := rpc.NewServer()
	if err := s.RegisterName("Child", service()); err != nil {
		return err
	}
	s.ServeCodec(jsonrpc.NewServerCodec(pipes{os.Stdin, os.Stdout}))
	return nil
}

// parseKB returns a field such as "VmRSS:  120 kB" in bytes.
func parseKB(text, name string) (int64, error) {
	v, ok := field(text, name)
	if !ok {
		return 0, fmt.Errorf("%s: no such field", name)
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(v, " kB"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: want kB, got %q", name, v)
	}
	return n << 10, nil
}

// cpuOf returns a process's CPU time, user's and system's, of all its threads ever. It reads the process's CPU
// clock (clock_getcpuclockid(3)): /proc/PID/stat has the same in steps of 10 ms.
func cpuOf(pid int) (time.Duration, error) {
	const scheduled = 2 // CPUCLOCK_SCHED
	var t syscall.Timespec
	_, _, code := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(^pid<<3|scheduled), uintptr(unsafe.Pointer(&t)), 0)
	if code != 0 {
		return 0, fmt.Errorf("CPU clock of process %d: %w", pid, code)
	}
	return time.Duration(t.Nano()), nil
}

// memoryOf returns a field of /proc/PID/status in bytes.
func memoryOf(pid int, name string) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	return parseKB(string(raw), name)
}

func memTotal() (int64, error) {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, err
	}
	return parseKB(string(raw), "MemTotal")
}

func loadAverage() *float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return nil
	}
	first, _, _ := strings.Cut(string(raw), " ")
	v, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return nil
	}
	return &v
}

// ownCPU is this process's CPU time.
func ownCPU() time.Duration {
	t, _ := cpuOf(os.Getpid()) // its own clock is always there
	return t
}
