// Package discovery keeps the gateway's endpoint list up to date. A Client fetches the list over HTTP, watches it for
// changes and publishes both to a Sink. Its calls are paced so that a discovery service that is shared by the whole
// fleet is not overloaded, and so that the gateway still learns of each change in time.
package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"springfield/internal/clock"
	"springfield/internal/counters"
	"springfield/policy"
)

const (
	instancesPath          = "/registry/instances"
	dialTimeout            = time.Second
	maxResponseHeaderBytes = 16 << 10

	// watchTimeout is how long a watch may be silent: discovery writes an empty line every 2 s. A call without a
	// response is given up after this time, too.
	watchTimeout = 3500 * time.Millisecond
)

// Endpoint is an endpoint in the policy's form, with the address at which it is reached.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Update is a change of the endpoint list, or a complete list.
type Update struct {
	Kind      policy.UpdateKind
	Endpoints []Endpoint
}

// Sink receives the updates of the endpoint list in their order.
type Sink interface {
	// PublishEndpoints hands over an update. The channel is closed once the update is in force. The error says that
	// the sink has not accepted the update.
	PublishEndpoints(ctx context.Context, update Update) (applied <-chan struct{}, err error)
}

// Options configures a Client.
type Options struct {
	Clock   clock.Clock
	Address string   // of discovery, host and port
	Zones   []string // the names of the zones; the policy numbers them in this order
	Pacing  Pacing
	Seed    uint64 // for the random pauses before calls
}

// Client follows the endpoint list of discovery. Its fields up to the mutex belong to the goroutine that calls
// PublishCached and then Run.
type Client struct {
	clock        clock.Clock
	decoder      decoder
	random       *rand.Rand
	pacing       Pacing
	watchTimeout time.Duration
	sink         Sink
	http         http.Client

	listURL     string    // where the list in force was obtained; "": there is none, or a change of it was missed
	listVersion uint64    // the version of that list
	lastError   string    // the error that was logged last; "": discovery has responded since
	lastEnd     string    // why the last watch ended, as it was logged
	lastHeardAt time.Time // when the last line of a watch arrived, or else when the present attempt began

	firstResponse     chan struct{}
	firstResponseOnce sync.Once

	mu           sync.Mutex
	url          string             // of discovery as it is configured now
	migratedAt   time.Time          // when the migration to url was asked for; zero: there was none
	cancelFollow context.CancelFunc // ends the present attempt, so that the next one uses url
}

// NewClient returns a client that follows the list at the address in the options once Run is called.
func NewClient(options Options, sink Sink) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		clock:        options.Clock,
		decoder:      newDecoder(options.Zones),
		random:       rand.New(rand.NewPCG(options.Seed, options.Seed)),
		pacing:       options.Pacing,
		watchTimeout: watchTimeout,
		sink:         sink,
		http: http.Client{Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			MaxIdleConns:           1,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		}},
		firstResponse: make(chan struct{}),
		url:           instancesURL(options.Address),
		cancelFollow:  func() {},
	}
}

// now returns the present time on both clocks.
func (c *Client) now() moment { return moment{monotonic: c.clock.Now(), wall: time.Now()} }

func instancesURL(address string) string { return "http://" + address + instancesPath }

// FirstResponse returns a channel that is closed when discovery has first answered.
func (c *Client) FirstResponse() <-chan struct{} { return c.firstResponse }

// Migrate makes the client follow discovery at another address from now on, as was asked for at the given time. The
// endpoint list stays in force until the complete list has been read there.
func (c *Client) Migrate(address string, askedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if url := instancesURL(address); url != c.url {
		c.url, c.migratedAt = url, askedAt
		c.cancelFollow()
	}
}

// PublishCached publishes the list that the configuration holds and waits until it is in force. It is called before
// Run. An empty list is not published: the policy derives its first limits from the size of the first list.
func (c *Client) PublishCached(ctx context.Context, list EndpointList) {
	if len(list.Servers) == 0 {
		return
	}
	if list.Full {
		c.listURL, c.listVersion = c.url, list.Version
	}
	applied, err := c.sink.PublishEndpoints(ctx, c.decoder.update(c.now(), policy.UpdateCached, list))
	if err != nil {
		return // the sink or the context has ended, and the gateway with it
	}
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// Run follows the list until ctx ends. Gateways that start at the same time, or whose watches break at the same time,
// must not all call a shared discovery service at once: requests queue there until their callers have given up, and
// then it is busy with abandoned requests for good. Each gateway therefore pauses before a call for a random time up
// to a bound, which grows with the size of the fleet and with each failure.
func (c *Client) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	backoff := c.pacing.initialBackoff
	pause := c.jitter(c.pacing.boundAtStart(c.listURL != ""))
	previousURL := c.listURL
	for ctx.Err() == nil {
		followCtx, url, migratedAt := c.beginFollow(ctx)
		if url != previousURL { // the first attempt without a list, or a migration
			elapsed := time.Duration(0)
			if !migratedAt.IsZero() {
				elapsed = time.Since(migratedAt)
			}
			backoff, pause, previousURL = c.pacing.initialBackoff, c.jitter(c.pacing.boundAtMigration(elapsed)), url
			c.http.CloseIdleConnections()
		}
		select {
		case <-followCtx.Done():
			continue
		case <-time.After(pause):
		}
		c.lastHeardAt = time.Now()
		if err := c.follow(followCtx, url); err != nil {
			c.logFailure(followCtx, err)
			pause = c.jitter(c.pacing.boundAfterFailure(backoff, time.Since(c.lastHeardAt)))
		} else {
			backoff, c.lastError = c.pacing.initialBackoff, ""
			pause = c.jitter(c.pacing.boundAfterBreak(time.Since(c.lastHeardAt)))
		}
		backoff = c.pacing.nextBackoff(backoff)
	}
}

// beginFollow returns the configured URL, when the migration to it was asked for, and a context that ends when the
// client migrates to another one.
func (c *Client) beginFollow(ctx context.Context) (followCtx context.Context, url string, migratedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelFollow() // releases the context of the attempt before
	followCtx, c.cancelFollow = context.WithCancel(ctx)
	return followCtx, c.url, c.migratedAt
}

// jitter returns a random duration below the bound ("full jitter"), or 0 if the bound is 0.
func (c *Client) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(bound)))
}

// logFailure logs an error unless it is the one that was logged last, or the attempt was cancelled.
func (c *Client) logFailure(followCtx context.Context, err error) {
	if followCtx.Err() != nil || err.Error() == c.lastError {
		return
	}
	c.lastError = err.Error()
	slog.Warn("discovery failed", "err", err)
}

// logWatchEnd logs why an established watch has ended, unless the one before ended in the same way, or the client has
// ended it for a migration.
func (c *Client) logWatchEnd(ctx context.Context, reason error) {
	counters.Count(counters.WatchEnded, "")
	text := "ended by discovery"
	switch {
	case reason != nil && ctx.Err() != nil && errors.Is(reason, context.Canceled):
		text = "silent, or migrated"
	case reason != nil:
		text = reason.Error()
	}
	if text == c.lastEnd {
		return
	}
	c.lastEnd = text
	slog.Info("watch ended", "reason", text)
}
