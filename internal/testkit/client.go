package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Response is a complete response, or the error that occurred instead.
type Response struct {
	Status int // HTTP status, or 0 if the connection ended without a response
	Body   string
	Header http.Header
	Close  bool // whether it is the last response on its connection
	Err    error
}

// RoundTrip sends the request and reads the complete response.
func RoundTrip(client *http.Client, request *http.Request) Response {
	response, err := client.Do(request)
	if err != nil {
		return Response{Err: err}
	}
	return readBody(response)
}

func readBody(response *http.Response) Response {
	defer func() { _ = response.Body.Close() }() // ReadAll has already returned any error that matters
	body, err := io.ReadAll(response.Body)
	return Response{
		Status: response.StatusCode,
		Body:   string(body),
		Header: response.Header,
		Close:  response.Close,
		Err:    err,
	}
}

// Client is a client connection on which a test can write arbitrary bytes.
type Client struct {
	net.Conn
	Reader *bufio.Reader // buffers reads from the connection
	t      testing.TB
}

// Dial connects to a gateway. The connection has a deadline of Timeout and is closed at the end of the test.
func Dial(t testing.TB, address string) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // fails if the test has already closed the connection
	if err := conn.SetDeadline(time.Now().Add(Timeout)); err != nil {
		t.Fatal(err)
	}
	return &Client{Conn: conn, Reader: bufio.NewReader(conn), t: t}
}

// WriteText writes the text and ends the test if that fails.
func (c *Client) WriteText(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, text); err != nil {
		c.t.Fatal(err)
	}
}

// ReadResponse reads one complete response.
func (c *Client) ReadResponse() Response {
	response, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		return Response{Err: err}
	}
	return readBody(response)
}

// CloseWrite closes the sending direction of the connection and leaves the receiving direction open.
func (c *Client) CloseWrite() {
	c.t.Helper()
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		c.t.Fatal(err)
	}
}

// Reset closes the connection with a TCP reset.
func (c *Client) Reset() {
	c.t.Helper()
	if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
		c.t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		c.t.Fatal(err)
	}
}
