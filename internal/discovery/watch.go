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

// maxListBytes limits the size of a list and of each line and each object of a watch.
const maxListBytes = 4 << 20

// statusError reports a response of discovery with a status other than 200.
type statusError struct {
	url    string
	status string // status code and text
}

func (e *statusError) Error() string { return e.url + ": " + e.status }

// follow watches the list at the URL until the watch breaks or is silent for too long. It first fetches the complete
// list, but only if the current list does not come from this URL, because a complete list costs discovery work for each
// entry. An error means that discovery did not answer one of the calls; the end of an established watch is not an
// error.
func (c *Client) follow(ctx context.Context, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(c.watchTimeout, cancel)
	defer silenceTimer.Stop()

	if c.listURL != url {
		if err := c.fetchList(ctx, url, silenceTimer); err != nil {
			return err
		}
		c.signalFirstResponse()
		silenceTimer.Reset(c.watchTimeout)
	}
	body, err := c.get(ctx, url+"?watch=1&after="+strconv.FormatUint(c.listVersion, 10))
	if err != nil {
		return err
	}
	defer closeBody(body)
	c.signalFirstResponse()
	c.logWatchEnd(ctx, c.readChanges(ctx, url, body, silenceTimer))
	return nil
}

func (c *Client) signalFirstResponse() {
	c.firstResponseOnce.Do(func() { close(c.firstResponse) })
}

// activityReader restarts the silence timer of a call at each read that returns data, so that a transfer may take any
// time as long as it makes progress.
type activityReader struct {
	io.Reader
	silenceTimer *time.Timer
	timeout      time.Duration
}

// Read reads from the underlying reader.
func (r *activityReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.silenceTimer.Reset(r.timeout)
	}
	return n, err
}

// fetchList fetches the complete list and publishes it.
func (c *Client) fetchList(ctx context.Context, url string, silenceTimer *time.Timer) error {
	body, err := c.get(ctx, url)
	if err != nil {
		return err
	}
	defer closeBody(body)
	var list EndpointList
	reader := &activityReader{Reader: body, silenceTimer: silenceTimer, timeout: c.watchTimeout}
	if err := json.NewDecoder(io.LimitReader(reader, maxListBytes)).Decode(&list); err != nil {
		return fmt.Errorf("decode the list: %w", err)
	}
	if err := list.validate(); err != nil {
		return fmt.Errorf("fetch the list: %w", err)
	}
	if !list.Full {
		return fmt.Errorf("fetch the list: %w", errNotFullList)
	}
	c.publish(ctx, url, list)
	return ctx.Err()
}

// Errors that end a watch before discovery or the network does. Each means that a change is lost.
var (
	errInvalidChange    = errors.New("received an invalid change")
	errIncompleteChange = errors.New("received an incomplete change")
)

// readChanges publishes the changes that a watch delivers until the watch ends, and returns the reason; nil means that
// discovery has closed it. Any received bytes restart the silence timer, but only a complete line updates lastLineAt,
// because the content of a partial line is unknown. If a change is lost, listURL is cleared, so that the complete list
// is fetched next.
func (c *Client) readChanges(ctx context.Context, url string, body io.Reader, silenceTimer *time.Timer) error {
	lines := bufio.NewScanner(&activityReader{Reader: body, silenceTimer: silenceTimer, timeout: c.watchTimeout})
	lines.Buffer(nil, maxListBytes)
	var object objectReader
	for lines.Scan() {
		c.lastLineAt = time.Now()
		line := lines.Bytes()
		isKeepAlive := len(line) == 0 && object.empty()
		if isKeepAlive || !object.addLine(line, maxListBytes) {
			continue
		}
		var change EndpointList
		if json.Unmarshal(object.take(), &change) != nil || change.validate() != nil {
			c.listURL = "" // the change is lost
			return errInvalidChange
		}
		c.publish(ctx, url, change)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) || !object.empty() {
		c.listURL = "" // the last change is incomplete and lost
		return errIncompleteChange
	}
	return lines.Err()
}

// get sends a GET request and returns the body of the response, which the caller must close. A status other than 200 is
// an error.
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

// closeBody closes the body of a response. The error is ignored, because the needed part has been read.
func closeBody(body io.Closer) { _ = body.Close() }

// publish hands a list to the sink. It becomes the current list once the sink has accepted it.
func (c *Client) publish(ctx context.Context, url string, list EndpointList) {
	kind := policy.UpdateDelta
	if list.Full {
		kind = policy.UpdateFull
	}
	if _, err := c.sink.PublishEndpoints(ctx, c.decoder.update(c.now(), kind, list)); err != nil {
		return // ctx or the sink has ended; listVersion stays, so the next watch delivers the change again
	}
	c.listURL, c.listVersion = url, list.Version
	counters.Count(counters.ListPublished, "")
}
