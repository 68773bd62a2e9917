package main

import (
	"fmt"
	"os"
	"sort"
)

// cases by name.
var cases = map[string]func(b *bench){}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: standins-2 CASE ROOT FOLDER; cases:", names)
		os.Exit(couldNot)
	}
	b, err := newBench(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(couldNot)
	}
	cases[os.Args[1]](b)
}
