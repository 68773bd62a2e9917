package stand

import "golang.org/x/sys/unix"

func outq(fd int) (int, error) { return unix.IoctlGetInt(fd, unix.SIOCOUTQ) }
