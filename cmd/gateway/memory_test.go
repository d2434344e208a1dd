package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"springfield/internal/testkit"
)

// The least memory and the most descriptors that the operators' pages name.
const (
	leastMemoryMB = 32
	mostSockets   = 1024
)

const (
	crowdSize     = 500             // "hundreds" of clients that misbehave in the same way
	crowdDuration = 3 * time.Second // time for which bad clients may go without an answer
	maxBodyBytes  = 64 << 10        // longest body of the protocol

	// crowdEndpoints is large enough for attempts on all connections that the gateway may have to endpoints.
	crowdEndpoints = 100

	longFieldBytes = 15 << 10 // a head of this length is still accepted

	memoryPollInterval   = 10 * time.Millisecond
	ordinaryInterval     = 50 * time.Millisecond // between two requests of ordinary clients
	endpointLatency      = 200 * time.Millisecond
	crowdRequestDeadline = "4" // seconds

	kilobyte = 1 << 10
	megabyte = 1 << 20
)

// shortFields are as many short fields as a head of that length has.
var shortFields = strings.Repeat("a:\r\n", longFieldBytes/len("a:\r\n"))

// misbehavior is what the clients of a crowd do on their connections.
type misbehavior struct {
	act           func(client crowdClient) // returns once the connection may be closed
	blocksService bool                     // no ordinary request may be served meanwhile
}

var misbehaviors = map[string]misbehavior{
	"stop at the end of a long body": {act: func(c crowdClient) {
		text := crowdRequest(c.id, c.customer, "", strings.Repeat("x", maxBodyBytes))
		c.write(text[:len(text)-1])
		c.readToEnd()
	}},
	"write the end of a long body slowly": {act: func(c crowdClient) {
		const slowBytes = 100
		text := crowdRequest(c.id, c.customer, "", strings.Repeat("x", maxBodyBytes))
		c.write(text[:len(text)-slowBytes])
		go c.writeSlowly(text[len(text)-slowBytes:])
		c.readToEnd()
	}},
	"send heads of many short fields": {act: func(c crowdClient) {
		c.write(crowdRequest(c.id, c.customer, shortFields, ""))
		c.readResponse()
	}},
	"stop in heads of many short fields": {act: func(c crowdClient) {
		text := crowdRequest(c.id, c.customer, shortFields, "")
		c.write(text[:len(text)-1])
		c.readToEnd()
	}},
	"send long fields": {act: func(c crowdClient) {
		c.write(crowdRequest(c.id, c.customer, "X: "+strings.Repeat("x", longFieldBytes)+"\r\n", ""))
		c.readResponse()
	}},
	"stop in long fields": {act: func(c crowdClient) {
		c.write("GET / HTTP/1.1\r\nX: " + strings.Repeat("x", longFieldBytes))
		c.readToEnd()
	}},
	"get long answers that stall": {act: func(c crowdClient) {
		text := crowdRequest(c.id, c.customer, "", "")
		c.write(strings.Replace(text, " HTTP", "?"+stallQuery+" HTTP", 1))
		c.readResponse()
	}, blocksService: true},
	"send long bodies": {act: func(c crowdClient) {
		c.write(crowdRequest(c.id, c.customer, "", strings.Repeat("x", maxBodyBytes)))
		c.readResponse()
	}},
}

// A crowd of clients must not make the gateway exceed its memory limit, which would end the process, and ordinary
// clients must get their answers meanwhile.
func TestMemoryStaysWithinLimit(t *testing.T) {
	program := buildProgram(t)
	for name, crowd := range misbehaviors {
		t.Run(name, func(t *testing.T) { testMemoryStaysWithinLimit(t, program, crowd) })
	}
}

func testMemoryStaysWithinLimit(t *testing.T, program string, crowd misbehavior) {
	gateway := startBuiltProgram(t, program, writeConfig(t, crowdConfig(startCrowdEndpoint(t))))
	var clients sync.WaitGroup
	endAt := time.Now().Add(crowdDuration)
	for i := range crowdSize {
		clients.Go(func() { runCrowdClient(gateway.address, i, endAt, crowd.act) })
	}
	statuses := make(chan int, int(crowdDuration/ordinaryInterval)+1)
	clients.Go(func() { sendOrdinaryRequests(gateway.address, endAt, statuses) })
	highest := 0
	for ; time.Now().Before(endAt); time.Sleep(memoryPollInterval) {
		memory, err := anonymousMemory(gateway.command.Process.Pid)
		if err != nil {
			t.Fatalf("the program may have ended: %v", err)
		}
		highest = max(highest, memory)
	}
	clients.Wait()
	if highest > leastMemoryMB*megabyte {
		t.Errorf("the program used %.1f MB, and may use %d", float64(highest)/megabyte, leastMemoryMB)
	}
	counts := map[int]int{}
	for range len(statuses) {
		counts[<-statuses]++
	}
	t.Logf("at most %.1f MB; ordinary requests by status: %v", float64(highest)/megabyte, counts)
	for status := range counts {
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("%d ordinary requests ended with status %d", counts[status], status)
		}
	}
	if counts[http.StatusOK] == 0 && !crowd.blocksService {
		t.Error("no ordinary request was served")
	}
	n := 0
	testkit.Eventually(t, "a served request after the crowd", func() bool {
		n++
		status, _ := statusOf(gateway.address, crowdRequest(fmt.Sprint("after-", n), n, "", ""))
		return status == http.StatusOK
	})
}

// buildProgram builds the gateway and returns its path. The test binary does not take its place, because the race
// detector needs much more memory.
func buildProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway")
	if output, err := exec.Command("go", "build", "-race=false", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build the gateway: %v: %s", err, output)
	}
	return path
}

// startBuiltProgram starts a built gateway and waits until it is ready.
func startBuiltProgram(t *testing.T, path, config string) *program {
	t.Helper()
	p := startCommand(t, exec.Command(path), config, func(command *exec.Cmd) *os.File {
		stderr, err := command.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		return stderr.(*os.File)
	})
	p.awaitLog(" msg=ready")
	p.collectLog() // nobody else reads the log
	return p
}

// stallQuery is the query of requests whose answer stalls before its last byte.
const stallQuery = "stall"

// startCrowdEndpoint starts an endpoint that answers each request after endpointLatency, or with stallQuery begins an
// answer that it does not finish, and a discovery service that lists it as many endpoints. It returns the address of
// discovery.
func startCrowdEndpoint(t *testing.T) (discovery string) {
	t.Helper()
	endpoint := listen(t, "127.0.0.1:0")
	serveHTTP(t, endpoint, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // an error ends the connection
		if r.URL.RawQuery != stallQuery {
			time.Sleep(endpointLatency)
			_, _ = io.WriteString(w, "ok")
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(maxBodyBytes))
		_, _ = io.WriteString(w, strings.Repeat("x", maxBodyBytes-1))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	registry := testkit.NewRegistry(t)
	for i := range crowdEndpoints {
		id := fmt.Sprint("s-", i)
		registry.SetEntry(id, testkit.EndpointLine(id, endpoint.Addr().String(), "up", 0))
	}
	return registry.Address()
}

// crowdConfig returns a configuration with the least memory, the most descriptors and quotas that reject nothing.
func crowdConfig(discovery string) string {
	return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"settings":{"Balancers":1,
	"Classes":[{"Name":"pay","AimMs":2000,"HardLimitMs":8000,"Repeat":"at_most_once","Value":5}],
	"Contracts":[{"Name":"team","UnitsPerS":1e6,"Burst":1e6,"Pays":1}],"Limits":{"Cancel":true}}}`,
		discovery, leastMemoryMB, mostSockets)
}

// crowdRequest returns a complete request with additional lines in its head.
func crowdRequest(id string, customer int, lines, body string) string {
	return fmt.Sprintf("POST /pay/%016x HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nPlan: team\r\nReq-Deadline: %s\r\n"+
		"Quota-Info: units=1,spread=1,first=0\r\nContent-Length: %d\r\n%s\r\n%s", customer, id,
		crowdRequestDeadline, len(body), lines, body)
}

// crowdClient is a connection of a client of a crowd. Its reads and writes end with the crowd; their errors do not
// matter.
type crowdClient struct {
	conn     net.Conn
	id       string // request ID that nobody else uses
	customer int
}

// runCrowdClient opens one connection after another until the end.
func runCrowdClient(address string, number int, endAt time.Time, misbehave func(crowdClient)) {
	for n := 0; time.Now().Before(endAt); n++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(endAt) // fails only on a closed connection
		misbehave(crowdClient{conn: conn, id: fmt.Sprintf("crowd-%d-%d", number, n), customer: number})
		_ = conn.Close() // the gateway may have closed it
	}
}

func (c crowdClient) write(text string) { _, _ = io.WriteString(c.conn, text) }

func (c crowdClient) readToEnd() { _, _ = io.Copy(io.Discard, c.conn) }

func (c crowdClient) readResponse() {
	if response, err := http.ReadResponse(bufio.NewReader(c.conn), nil); err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// writeSlowly writes the text byte by byte.
func (c crowdClient) writeSlowly(text string) {
	const pause = 50 * time.Millisecond
	for i := range len(text) {
		if _, err := io.WriteString(c.conn, text[i:i+1]); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// sendOrdinaryRequests sends requests of usual length, each on a connection of its own, and every fourth with a body of
// 20 KB. It sends the status of each response, or 0 if there was none.
func sendOrdinaryRequests(address string, endAt time.Time, statuses chan<- int) {
	const longBody, longBodyInterval, maxTries = 20_000, 4, 5
	var requests sync.WaitGroup
	for n := 0; time.Now().Before(endAt); n++ {
		body := "{}"
		if n%longBodyInterval == 0 {
			body = strings.Repeat("x", longBody)
		}
		text := crowdRequest(fmt.Sprint("ordinary-", n), crowdSize+n, "", body)
		requests.Go(func() {
			// The gateway may close a connection before it has read anything. Clients then send the request again.
			status, err := statusOf(address, text)
			for try := 1; err != nil && try < maxTries; try++ {
				status, err = statusOf(address, text)
			}
			statuses <- status
		})
		time.Sleep(ordinaryInterval)
	}
	requests.Wait()
}

// statusOf sends a request and returns the status of the response.
func statusOf(address, text string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, testkit.Timeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }() // the response has been read
	if err := conn.SetDeadline(time.Now().Add(testkit.Timeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// anonymousMemory returns the resident memory of a process in bytes, without that of files.
func anonymousMemory(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes * kilobyte, err
		}
	}
	return 0, errors.New("the kernel does not report the memory of the process")
}
