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
	maxStepProcesses = 300             // per step, with those of the stand-ins
	exitTimeout      = 3 * time.Second // for a child to exit after its input was closed; after that it is killed
)

// startQueue returns a channel of functions that run on one thread that never exits. Processes must be started from it:
// with Pdeathsig, the kernel kills a child when the thread that started it exits, not when the process does.
var startQueue = sync.OnceValue(func() chan<- func() {
	jobs := make(chan func())
	go func() {
		runtime.LockOSThread()
		for job := range jobs {
			job()
		}
	}()
	return jobs
})

// startProcess starts c so that it is killed when this process exits, and in a process group of its own, so that it
// doesn't get the terminal's signals.
func startProcess(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	result := make(chan error)
	startQueue() <- func() { result <- c.Start() }
	return <-result
}

// child is a subprocess that runs this program and serves JSON-RPC calls over its standard input and output.
type child struct {
	*rpc.Client
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has exited
}

// stdioPipes combines a process's input and output pipes into one connection.
type stdioPipes struct {
	io.Reader
	io.WriteCloser
}

// startChild runs "scalerun child kind" from the given program.
func startChild(program, kind string) (*child, error) {
	cmd := exec.Command(program, "child", kind)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := startProcess(cmd); err != nil {
		return nil, fmt.Errorf("%s: %w", kind, err)
	}
	c := &child{Client: jsonrpc.NewClient(stdioPipes{stdout, stdin}), name: kind, cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(c.exited)
	}()
	return c, nil
}

// call makes a call and returns when it is answered or ctx is done.
func (c *child) call(ctx context.Context, method string, args, reply any) error {
	call := c.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if errors.Is(call.Error, rpc.ErrShutdown) || errors.Is(call.Error, io.ErrUnexpectedEOF) {
		return fmt.Errorf("%s: the process has exited", c.name)
	}
	if call.Error != nil {
		return fmt.Errorf("%s: %w", c.name, call.Error)
	}
	return nil
}

func (c *child) pid() int { return c.cmd.Process.Pid }

// stop closes the child's input and kills the child if it hasn't exited within exitTimeout.
func (c *child) stop() {
	_ = c.Close()
	select {
	case <-c.exited:
	case <-time.After(exitTimeout):
		_ = c.cmd.Process.Kill()
		<-c.exited
	}
}

// ServeChild serves the parent's calls on standard input and output until the parent closes the input. The kinds are
// registry, transcribers and hollow.
func ServeChild(kind string) error {
	constructors := map[string]func() any{
		"registry":     func() any { return &registryService{} },
		"transcribers": func() any { return &transcribersService{} },
		"hollow":       func() any { return newHollowService() },
	}
	newService, ok := constructors[kind]
	if !ok {
		return fmt.Errorf("child %q: want registry, transcribers or hollow", kind)
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Child", newService()); err != nil {
		return err
	}
	server.ServeCodec(jsonrpc.NewServerCodec(stdioPipes{os.Stdin, os.Stdout}))
	return nil
}

// parseKB parses the named field from a line such as "VmRSS:  120 kB" and returns its value in bytes.
func parseKB(text, name string) (int64, error) {
	value, ok := procField(text, name)
	if !ok {
		return 0, fmt.Errorf("%s: no such field", name)
	}
	n, err := strconv.ParseInt(strings.TrimSuffix(value, " kB"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: want kB, got %q", name, value)
	}
	return n << 10, nil
}

// processCPUTime returns the user and system CPU time of a process, including threads that have exited. It reads the
// process's CPU clock (clock_getcpuclockid(3)), because /proc/PID/stat has a resolution of only 10 ms.
func processCPUTime(pid int) (time.Duration, error) {
	const cpuClockSched = 2 // CPUCLOCK_SCHED
	var clock syscall.Timespec
	_, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, uintptr(^pid<<3|cpuClockSched), uintptr(unsafe.Pointer(&clock)), 0)
	if errno != 0 {
		return 0, fmt.Errorf("CPU clock of process %d: %w", pid, errno)
	}
	return time.Duration(clock.Nano()), nil
}

// processMemory returns a field of /proc/PID/status in bytes.
func processMemory(pid int, name string) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	return parseKB(string(raw), name)
}

func totalMemory() (int64, error) {
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

// ownCPUTime returns the CPU time of this process.
func ownCPUTime() time.Duration {
	t, _ := processCPUTime(os.Getpid()) // a process can always read its own clock
	return t
}
