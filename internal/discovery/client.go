// Package discovery keeps the gateway's endpoint list up to date. A Client fetches the list over HTTP, watches it for
// changes and publishes both to a Sink. Its calls are paced so that a discovery service that is shared by the whole
// fleet is not overloaded, and so that the gateway still receives each change in time.
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

	// watchTimeout is the time without data after which a watch, or a call without a response, is abandoned. Discovery
	// sends an empty line every 2 s to keep a watch alive.
	watchTimeout = 3500 * time.Millisecond
)

// Endpoint is an endpoint in the policy's form, together with its network address.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Update is a complete endpoint list or a change to it.
type Update struct {
	Kind      policy.UpdateKind
	Endpoints []Endpoint
}

// Sink receives the updates of the endpoint list in order.
type Sink interface {
	// PublishEndpoints hands over an update. The returned channel is closed once the update has been applied. An error
	// means that the sink has not accepted the update.
	PublishEndpoints(ctx context.Context, update Update) (applied <-chan struct{}, err error)
}

// Options configures a Client.
type Options struct {
	Clock   clock.Clock
	Address string   // host and port of the discovery service
	Zones   []string // zone names; the policy numbers the zones in this order
	Pacing  Pacing
	Seed    uint64 // seeds the random pauses before calls
}

// Client keeps the endpoint list of a discovery service up to date. The fields above the mutex are used only by the
// goroutine that calls PublishCached and then Run.
type Client struct {
	clock        clock.Clock
	decoder      decoder
	random       *rand.Rand
	pacing       Pacing
	watchTimeout time.Duration
	sink         Sink
	http         http.Client

	listURL      string    // source of the current list; empty if there is no list or a change to it was lost
	listVersion  uint64    // version of the current list
	lastError    string    // last logged error; empty once discovery has responded
	lastWatchEnd string    // last logged reason for the end of a watch
	lastLineAt   time.Time // arrival of the last line of the watch; before the first, the start of the current attempt

	firstResponse     chan struct{}
	firstResponseOnce sync.Once

	mu           sync.Mutex
	url          string             // currently configured URL of the discovery service
	migratedAt   time.Time          // when the migration to url was requested; zero if there was none
	cancelFollow context.CancelFunc // ends the current attempt, so that the next one uses url
}

// NewClient returns a client that follows the list at options.Address once Run is called.
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

// now returns the current time on the monotonic clock and on the wall clock.
func (c *Client) now() clockReading { return clockReading{monotonic: c.clock.Now(), wall: time.Now()} }

func instancesURL(address string) string { return "http://" + address + instancesPath }

// FirstResponse returns a channel that is closed once discovery has responded for the first time.
func (c *Client) FirstResponse() <-chan struct{} { return c.firstResponse }

// Migrate makes the client follow the discovery service at another address. requestedAt is when the migration was
// requested. The current endpoint list stays in effect until the complete list has been read from the new address.
func (c *Client) Migrate(address string, requestedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if url := instancesURL(address); url != c.url {
		c.url, c.migratedAt = url, requestedAt
		c.cancelFollow()
	}
}

// PublishCached publishes the list stored in the configuration and waits until it has been applied. It must be called
// before Run. An empty list is not published, because the policy derives its initial limits from the size of the first
// list.
func (c *Client) PublishCached(ctx context.Context, list EndpointList) {
	if len(list.Servers) == 0 {
		return
	}
	if list.Full {
		c.listURL, c.listVersion = c.url, list.Version
	}
	applied, err := c.sink.PublishEndpoints(ctx, c.decoder.update(c.now(), policy.UpdateCached, list))
	if err != nil {
		return // the sink or ctx has ended: the gateway is shutting down
	}
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// Run follows the list until ctx ends. Gateways that start at the same time, or whose watches break at the same time,
// must not all call a shared discovery service at once: their requests would queue there until the callers time out,
// and the service would then stay busy with abandoned requests. Each gateway therefore pauses before a call for a
// random time up to a bound that grows with the size of the fleet and with each failure.
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
		c.lastLineAt = time.Now()
		if err := c.follow(followCtx, url); err != nil {
			c.logFailure(followCtx, err)
			pause = c.jitter(c.pacing.boundAfterFailure(backoff, time.Since(c.lastLineAt)))
		} else {
			backoff, c.lastError = c.pacing.initialBackoff, ""
			pause = c.jitter(c.pacing.boundAfterBreak(time.Since(c.lastLineAt)))
		}
		backoff = c.pacing.nextBackoff(backoff)
	}
}

// beginFollow begins an attempt. It returns the configured URL, the time at which the migration to it was requested,
// and a context that ends when the client migrates to another URL.
func (c *Client) beginFollow(ctx context.Context) (followCtx context.Context, url string, migratedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelFollow() // releases the context of the previous attempt
	followCtx, c.cancelFollow = context.WithCancel(ctx)
	return followCtx, c.url, c.migratedAt
}

// jitter returns a random duration in [0, bound) ("full jitter"), or 0 if the bound is not positive.
func (c *Client) jitter(bound time.Duration) time.Duration {
	if bound <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(bound)))
}

// logFailure logs an error unless it equals the last logged one or the attempt was cancelled.
func (c *Client) logFailure(followCtx context.Context, err error) {
	if followCtx.Err() != nil || err.Error() == c.lastError {
		return
	}
	c.lastError = err.Error()
	slog.Warn("discovery failed", "err", err)
}

// logWatchEnd counts the end of an established watch and logs its reason, unless that equals the last logged one.
func (c *Client) logWatchEnd(ctx context.Context, reason error) {
	counters.Count(counters.WatchEnded, "")
	text := "closed by discovery"
	switch {
	case reason != nil && ctx.Err() != nil && errors.Is(reason, context.Canceled):
		text = "cancelled by a timeout, a migration or the shutdown"
	case reason != nil:
		text = reason.Error()
	}
	if text == c.lastWatchEnd {
		return
	}
	c.lastWatchEnd = text
	slog.Info("watch ended", "reason", text)
}
