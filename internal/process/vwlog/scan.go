package vwlog

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// maxLine bounds one line of a log. Lines of the product are below 4 KiB.
const maxLine = 1 << 20

// scanFile passes the JSON object of each line of a log to parse. It counts the lines that parse rejects in a warning.
func scanFile(path string, warnings io.Writer, parse func(text []byte) error) error {
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer func() { _ = file.Close() }()
	unread := 0
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		// Collectors put the time and the machine before a line.
		begin := strings.IndexByte(scanner.Text(), '{')
		if begin < 0 {
			continue
		}
		if parse([]byte(scanner.Text()[begin:])) != nil {
			unread++
		}
	}
	if unread > 0 {
		fmt.Fprintf(warnings, "%s: %d lines could not be read\n", path, unread)
	}
	return trace.Wrap(scanner.Err())
}
