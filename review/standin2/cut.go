package main

import (
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	cutServers  = 4
	cutLength   = 12 * time.Second
	cutInterval = 50 * time.Millisecond
	cutService  = 100 * time.Millisecond
	cutShare    = 10  // one in so many answers is spoilt
	cutMissing  = 8   // bytes of the body that the Content-Length leaves out
	cutDeadline = 4.0 // seconds
)

// answerCut gives each request its answer, but each cutShare-th answer states a length that is too short for its body.
func (w *world) answerCut(conn *net.TCPConn, a arrival) bool {
	if !w.trouble || a.sequence%cutShare != 0 {
		return answerAfter(cutService)(conn, a)
	}
	time.Sleep(cutService)
	body := bodyFor(a.id)
	w.logf("%s answers %s with %q and a Content-Length of %d", a.server, a.id, body, len(body)-cutMissing)
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", answerHead, len(body)-cutMissing, body)
	return err == nil
}

// playCut lets a tenth of the answers state a length that does not fit.
func playCut(w *world) (broken bool, err error) {
	d, err := w.deploy(&oslo, cutServers, w.answerCut, 128, 512)
	if err != nil {
		return false, err
	}
	sent := d.sendSteadily(cutInterval, cutLength, func(number int) request {
		return d.safeRequest(fmt.Sprintf("cut-%03d", number), number, cutDeadline)
	})
	own, other := w.judgeBodies(sent)
	w.logf("%d of %d requests were served with their answer, %d with a part of it as a whole answer", own, len(sent),
		other)
	if own == 0 {
		return false, errors.New("nothing was served")
	}
	return other > 0, nil
}
