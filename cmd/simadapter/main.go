// Command simadapter connects the policy to the simulator. It reads batches of events from standard input, passes them
// to one policy.Engine per simulated gateway, and writes the resulting actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"springfield/internal/simwire"
)

const inputBufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run writes one reply for each batch of the input until the input ends.
func run(input io.Reader, output io.Writer) error {
	decoder := simwire.NewDecoder(bufio.NewReaderSize(input, inputBufferBytes))
	adapter := newAdapter()
	var frame []byte
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read a batch: %w", err)
		}
		if err := adapter.handleBatch(batch); err != nil {
			return err
		}
		frame = adapter.reply.AppendFrame(frame[:0])
		if _, err := output.Write(frame); err != nil {
			return fmt.Errorf("write a reply: %w", err)
		}
	}
}
