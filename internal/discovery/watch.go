package discovery

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"springfield/internal/counters"
	"springfield/policy"
)

// maxListBytes bounds a list, and each line and each object of a watch.
const maxListBytes = 4 << 20

// statusError is a response of discovery with a status other than 200.
type statusError struct {
	url    string
	status string // with its text
}

func (e *statusError) Error() string { return e.url + ": " + e.status }

// follow watches the list at the URL until the watch breaks or is silent for too long. It first fetches the complete
// list, but only if no list from this URL is in force: a list costs discovery work for each entry. The error says that
// discovery did not answer one of the calls; a watch that was established and has then ended is none.
func (c *Client) follow(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(c.watchTimeout, cancel)
	defer silence.Stop()

	if c.listURL != url {
		if err := c.fetchList(ctx, url, silence); err != nil {
			return err
		}
		c.signalFirstResponse()
		silence.Reset(c.watchTimeout)
	}
	body, err := c.get(ctx, url+"?watch=1&after="+strconv.FormatUint(c.listVersion, 10))
	if err != nil {
		return err
	}
	defer closeBody(body)
	c.signalFirstResponse()
	c.logWatchEnd(ctx, c.readChanges(ctx, url, body, silence))
	return nil
}

func (c *Client) signalFirstResponse() {
	c.firstResponseOnce.Do(func() { close(c.firstResponse) })
}

// heardReader restarts the timer of a call's silence at each read that brings bytes: a transfer may take any time, as
// long as it goes on.
type heardReader struct {
	io.Reader
	silence *time.Timer
	timeout time.Duration
}

// Read reads from the underlying reader.
func (r *heardReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.silence.Reset(r.timeout)
	}
	return n, err
}

// fetchList fetches the complete list and publishes it.
func (c *Client) fetchList(ctx context.Context, url string, silence *time.Timer) error {
	body, err := c.get(ctx, url)
	if err != nil {
		return err
	}
	defer closeBody(body)
	var list EndpointList
	heard := &heardReader{Reader: body, silence: silence, timeout: c.watchTimeout}
	if err := json.NewDecoder(io.LimitReader(heard, maxListBytes)).Decode(&list); err != nil {
		return fmt.Errorf("decode the list: %w", err)
	}
	if err := list.validate(); err != nil {
		return fmt.Errorf("fetch the list: %w", err)
	}
	if !list.Full {
		return fmt.Errorf("fetch the list: %w", errNotComplete)
	}
	c.publish(ctx, url, list)
	return ctx.Err()
}

// Reasons for which a watch ends before discovery or the network ends it. Each means that a change is lost.
var (
	errBadChange     = errors.New("a change cannot be read")
	errPartialChange = errors.New("a change arrived in part")
)

// readChanges publishes the changes that a watch delivers until it ends, and returns why it did; nil means that
// discovery has ended it. Bytes restart the timer of its silence; only a line counts as news of discovery, since what a
// part of one tells is not known. If a change is lost, the client forgets where its list is from, so that the complete
// list is fetched next.
func (c *Client) readChanges(ctx context.Context, url string, body io.Reader, silence *time.Timer) error {
	lines := bufio.NewScanner(&heardReader{Reader: body, silence: silence, timeout: c.watchTimeout})
	lines.Buffer(nil, maxListBytes)
	var object objectReader
	for lines.Scan() {
		c.lastHeardAt = time.Now()
		line := lines.Bytes()
		isKeepAlive := len(line) == 0 && object.empty()
		if isKeepAlive || !object.addLine(line, maxListBytes) {
			continue
		}
		var change EndpointList
		if json.Unmarshal(object.take(), &change) != nil || change.validate() != nil {
			c.listURL = "" // it is not known what changed
			return errBadChange
		}
		c.publish(ctx, url, change)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) || !object.empty() {
		c.listURL = "" // a change has arrived in part
		return errPartialChange
	}
	return lines.Err()
}

// get returns the body of a response, which the caller closes.
func (c *Client) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		closeBody(response.Body)
		return nil, &statusError{url: url, status: response.Status}
	}
	return response.Body, nil
}

// closeBody closes the body of a response. Its error is of no interest: what was needed has been read.
func closeBody(body io.Closer) { _ = body.Close() }

// publish hands a list to the sink. It becomes the list in force once the sink has accepted it.
func (c *Client) publish(ctx context.Context, url string, list EndpointList) {
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateFull
	}
	if _, err := c.sink.PublishEndpoints(ctx, c.decoder.update(c.now(), kind, list)); err != nil {
		return // ctx or the sink has ended; the version stays, so that the next watch delivers the change again
	}
	c.listURL, c.listVersion = url, list.Version
	counters.Count(counters.ListPublished, "")
}
