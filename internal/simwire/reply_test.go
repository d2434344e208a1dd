package simwire

import (
	"bytes"
	"testing"
)

// Frames with several actions must be encoded as in the examples of the protocol description. Reset must leave no
// action of an earlier reply.
func TestReplyFramesEncodeAsInProtocolExamples(t *testing.T) {
	var reply Reply
	reply.Forward(3, 0x5d3a91c4, 0x03124a07, 8492.25)
	reply.StartTimer(3, 500, 77)
	reply.Log(5, "two servers known")
	want := fromHex(t, `03000000 4e000000
00 14000000 03000000 c4913a5d 074a1203 000000002096c040
04 14000000 03000000 0000000000407f40 4d00000000000000
08 17000000 05000000 1100 74776f2073657276657273206b6e6f776e`)
	if got := reply.AppendFrame(nil); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}

	reply.Reset()
	if got := reply.AppendFrame(nil); !bytes.Equal(got, make([]byte, 8)) {
		t.Errorf("empty reply: %x", got)
	}

	reply.SendToPeer(3, 0xffffffff, []byte("hi 7"))
	reply.AddToCounter(3, 4, 3000, 0x89f690)
	want = fromHex(t, `02000000 30000000 07 0e000000 03000000 ffffffff 0400 68692037
0c 18000000 03000000 00008040 000000000070a740 90f6890000000000`)
	if got := reply.AppendFrame(nil); !bytes.Equal(got, want) {
		t.Errorf("got  %x\nwant %x", got, want)
	}
}

// A length field that does not match the encoded fields would make the simulator misread all later records.
func TestActionLengthFieldMatchesItsBytes(t *testing.T) {
	for name, act := range map[string]func(reply *Reply){
		"Forward":        func(reply *Reply) { reply.Forward(1, 2, 3, 4) },
		"Reject":         func(reply *Reply) { reply.Reject(1, 2, 3) },
		"Fail":           func(reply *Reply) { reply.Fail(1, 2) },
		"CancelAttempt":  func(reply *Reply) { reply.CancelAttempt(1, 2, 3) },
		"StartTimer":     func(reply *Reply) { reply.StartTimer(1, 2, 3) },
		"HealthCheck":    func(reply *Reply) { reply.HealthCheck(1, 2) },
		"CloseIdle":      func(reply *Reply) { reply.CloseIdle(1, 2) },
		"SendToPeer":     func(reply *Reply) { reply.SendToPeer(1, 2, []byte("abc")) },
		"Log":            func(reply *Reply) { reply.Log(1, "abc") },
		"ReportPanic":    func(reply *Reply) { reply.ReportPanic(1, "abc") },
		"WatchEndpoints": func(reply *Reply) { reply.WatchEndpoints(1, true) },
		"FetchEndpoints": func(reply *Reply) { reply.FetchEndpoints(1) },
		"AddToCounter":   func(reply *Reply) { reply.AddToCounter(1, 2, 3, 4) },
	} {
		var reply Reply
		act(&reply)
		length := int(reply.records[1]) | int(reply.records[2])<<8
		if fields := len(reply.records) - recordHeaderBytes; length != fields {
			t.Errorf("%s: the length field is %d, but the fields take %d bytes", name, length, fields)
		}
	}
}

// Every action must be encoded exactly as in the example of the protocol description, or the simulator could not decode
// it.
func TestActionsEncodeAsInProtocolExamples(t *testing.T) {
	const request, endpoint, instance = 0x5d3a91c4, 0x03124a07, 3
	for want, act := range map[string]func(reply *Reply){
		"00 14000000 03000000 c4913a5d 074a1203 000000002096c040": func(reply *Reply) {
			reply.Forward(instance, request, endpoint, 8492.25)
		},
		"01 10000000 03000000 192b6f0e 0000000000406f40": func(reply *Reply) {
			reply.Reject(instance, 0x0e6f2b19, 250)
		},
		"02 08000000 03000000 192b6f0e":    func(reply *Reply) { reply.Fail(instance, 0x0e6f2b19) },
		"03 09000000 03000000 c4913a5d 00": func(reply *Reply) { reply.CancelAttempt(instance, request, 0) },
		"04 14000000 03000000 0000000000407f40 4d00000000000000": func(reply *Reply) {
			reply.StartTimer(instance, 500, 77)
		},
		"05 08000000 03000000 f211902c": func(reply *Reply) { reply.HealthCheck(instance, 0x2c9011f2) },
		"06 08000000 03000000 f211902c": func(reply *Reply) { reply.CloseIdle(instance, 0x2c9011f2) },
		"07 0e000000 03000000 ffffffff 0400 68692037": func(reply *Reply) {
			reply.SendToPeer(instance, 0xffffffff, []byte("hi 7"))
		},
		"08 17000000 03000000 1100 74776f2073657276657273206b6e6f776e": func(reply *Reply) {
			reply.Log(instance, "two servers known")
		},
		"09 18000000 03000000 1200 696e646578206f7574206f662072616e6765": func(reply *Reply) {
			reply.ReportPanic(instance, "index out of range")
		},
		"0a 05000000 03000000 01": func(reply *Reply) { reply.WatchEndpoints(instance, true) },
		"0a 05000000 03000000 00": func(reply *Reply) { reply.WatchEndpoints(instance, false) },
		"0b 04000000 03000000":    func(reply *Reply) { reply.FetchEndpoints(instance) },
		"0c 18000000 03000000 00008040 000000000070a740 90f6890000000000": func(reply *Reply) {
			reply.AddToCounter(instance, 4, 3000, 0x89f690)
		},
	} {
		var reply Reply
		act(&reply)
		if !bytes.Equal(reply.records, fromHex(t, want)) {
			t.Errorf("got  %x\nwant %s", reply.records, want)
		}
	}
}
