package configcheck

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"springfield/internal/config"
	"springfield/internal/emulator/model"
)

// sound is a configuration without a problem, with keys that the gateway has no use for.
const sound = `{
"name": "n0", "listen": "127.0.0.1:8443", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": "127.0.0.1:6400",
"known": {"version": 4, "full": true, "servers": [
{"id": "a", "addr": "127.0.0.1:9000", "zone": "z", "kind": "m", "cell": 3, "state": "up", "weight": 1, "started_ms": 0},
{"id": "b", "addr": "[::1]:9000", "zone": "z", "state": "draining", "weight": 1.5}]},
"settings": {"Balancers": 2, "MyNumber": 1, "Locality": 0, "Zones": ["z"], "Discovery": "pushed", "Tier": 0,
"Classes": [
{"Name": "search", "AimMs": 400, "HardLimitMs": 1000, "Repeat": "idempotent", "Value": 1, "AimStretch": 2},
{"Name": "pay", "AimMs": 400, "HardLimitMs": 1000, "Repeat": "deduplicated", "Group": "zone", "KeyTtlMs": 9,
"Value": 1}], "Contracts": [
{"Name": "team", "UnitsPerS": 10, "Burst": 20, "HardRate": 20, "CeilingBurst": 40, "Pays": 1, "OverWorth": 0.5}],
"Limits": {"Cancel": true, "SendCap": 4, "MostHeld": 100},
"Report": {"How": "inline", "Columns": ["inflight"]},
"Safety": {"ColdFrom": 0.16, "WarmWithinMs": 100, "FallMultiple": 2.5, "FallMs": 10}}}`

func TestSoundConfigurationsHaveNoProblem(t *testing.T) {
	scenario := model.DefaultScenario()
	written, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
		"seed": "0", "settings": model.Settings(&scenario, 1)})
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{"all keys": sound, "of the emulator": string(written)} {
		if problems := Check([]byte(text)); len(problems) > 0 {
			t.Errorf("%s: problems are %v", name, problems)
		}
	}
}

// Each case changes the sound configuration in one place, which must bring the wanted problems and no other.
func TestEveryProblemIsReportedWithItsPath(t *testing.T) {
	for _, test := range []struct{ old, new, want string }{
		{`"name"`, `"nom"`, "1 warning $.name is missing|2 warning $.nom unknown key"},
		{`"listen": "127.0.0.1:8443"`, `"listen": ""`, `2 error $.listen is empty`},
		{`"listen": "127.0.0.1:8443", `, ``, `1 error $.listen is missing`},
		{`127.0.0.1:8443`, `127.0.0.1`, `2 error $.listen is "127.0.0.1": the port is missing`},
		{`127.0.0.1:8443`, `127.0.0.1:99999`, `2 error $.listen is "127.0.0.1:99999": the port`},
		{`127.0.0.1:8443`, `::1:80`, `2 error $.listen is "::1:80": an IPv6 address needs brackets`},
		{`127.0.0.1:8443`, `[::1:80`, `2 error $.listen is "[::1:80": the brackets`},
		{`127.0.0.1:8443`, `:8443`, `2 warning $.listen`},
		{`127.0.0.1:8443`, `127.0.0.1:0`, `2 warning $.listen`},
		{`127.0.0.1:8500`, `:8500`, `2 error $.discovery is ":8500": the host is missing`},
		{`127.0.0.1:8500`, `127.0.0.1:0`, `2 error $.discovery`},
		{`127.0.0.1:8500`, `http://x:1`, `2 error $.discovery is "http://x:1": the host has characters`},
		{`127.0.0.1:8500`, `discovery:8500`, `2 warning $.discovery`},
		{`8c1f30d27a5be964`, `0x8c`, `2 error $.seed is "0x8c", want hexadecimal`},
		{`8c1f30d27a5be964`, `18c1f30d27a5be964`, `2 error $.seed is "18c1f30d27a5be964", want at most 16`},
		{`8c1f30d27a5be964`, ``, `2 warning $.seed is missing`},
		{`"memory_mb": 192`, `"memory_mb": "192"`, `3 error $.limits.memory_mb is the string "192", want a whole number`},
		{`"memory_mb": 192`, `"memory_mb": -1`, `3 error $.limits.memory_mb is -1`},
		{`"sockets": 1024`, `"sockets": 1e3`, `3 error $.limits.sockets is 1e3, want a whole number`},
		{`"sockets": 1024`, `"sockets": 9`, `3 warning $.limits.sockets is 9`},
		{`"version": 4`, `"version": -4`, `4 error $.known.version is -4, want a whole number from 0`},
		{`"full": true`, `"full": false`, `4 warning $.known.full`},
		{`"servers"`, `"list"`, `4 warning $.known.list unknown|4 warning $.known.servers is missing`},
		{`"id": "b"`, `"id": "a"`, `6 error $.known.servers[1].id is "a", as is that of $.known.servers[0]`},
		{`"id": "b", `, ``, `6 error $.known.servers[1].id is missing`},
		{`[::1]:9000`, `9000`, `6 error $.known.servers[1].addr is "9000": the port is missing`},
		{`"draining"`, `"down"`, `6 error $.known.servers[1].state is "down", want "up" or "draining"`},
		{`"draining"`, `"removed"`, `6 warning $.known.servers[1].state`},
		{`"zone": "z", "state"`, `"zone": "y", "state"`, `6 warning $.known.servers[1].zone`},
		{`"weight": 1.5`, `"weight": -1`, `6 error $.known.servers[1].weight is -1`},
		{`"started_ms": 0`, `"started_ms": 9000000000000`, `5 warning $.known.servers[0].started_ms`},
		{`"settings": {`, `"other": {`, `1 error $.settings is missing|7 warning $.other unknown key`},
		{`"Balancers": 2`, `"Balancers": 0`, `7 error $.settings.Balancers is 0`},
		{`"MyNumber": 1`, `"MyNumber": 2`, `7 error $.settings.MyNumber is 2, want 0 to 1`},
		{`"MyNumber": 1`, `"MyNumber": -1`, `7 error $.settings.MyNumber is -1`},
		{`"Locality": 0`, `"Locality": 1`, `7 error $.settings.Locality is 1`},
		{`["z"]`, `["z", "z"]`, `7 error $.settings.Zones[1] is "z"`},
		{`"pushed"`, `"pulled"`, `7 error $.settings.Discovery is "pulled", want "pushed" or "on_request"`},
		{`"Classes"`, `"Kinds"`, `7 error $.settings.Classes is missing|8 warning $.settings.Kinds unknown key`},
		{`"Name": "search"`, `"Name": "a/b"`, `9 error $.settings.Classes[0].Name is "a/b"`},
		{`"Name": "pay"`, `"Name": "search"`, `10 error $.settings.Classes[1].Name is "search"`},
		{`"AimMs": 400`, `"AimMs": 1e999`, `9 error $.settings.Classes[0].AimMs is 1e999, which is too large`},
		{`"AimMs": 400`, `"AimMs": 4000`, `9 warning $.settings.Classes[0].AimMs`},
		{`"HardLimitMs": 1000`, `"HardLimitMs": null`,
			`9 warning $.settings.Classes[0].HardLimitMs null counts|9 error $.settings.Classes[0].HardLimitMs is 0`},
		{`"idempotent"`, `"often"`, `9 error $.settings.Classes[0].Repeat is "often"`},
		{`"Repeat": "idempotent", `, ``, `9 error $.settings.Classes[0].Repeat is missing`},
		{`"Value": 1, `, `"value": 1, "Value": 2, `, `9 warning $.settings.Classes[0].Value stands twice`},
		{`"Group": "zone"`, `"Group": "rack"`, `10 error $.settings.Classes[1].Group is "rack"`},
		{`"KeyTtlMs": 9`, `"KeyTtlMs": 0`, `10 warning $.settings.Classes[1].KeyTtlMs`},
		{`"Contracts"`, `"Plans"`, `7 error $.settings.Contracts is missing|11 warning $.settings.Plans unknown key`},
		{`"UnitsPerS": 10`, `"UnitsPerS": -10`, `12 error $.settings.Contracts[0].UnitsPerS is -10`},
		{`"Burst": 20`, `"Burst": 0`, `12 warning $.settings.Contracts[0].Burst`},
		{`"HardRate": 20`, `"HardRate": 5`, `12 warning $.settings.Contracts[0].HardRate`},
		{`"OverWorth": 0.5`, `"OverWorth": 5`, `12 error $.settings.Contracts[0].OverWorth`},
		{`"Cancel": true`, `"Cancel": 1`, `13 error $.settings.Limits.Cancel is the number 1, want true or false`},
		{`"SendCap": 4`, `"SendCap": 0`, `13 warning $.settings.Limits.SendCap`},
		{`"inline"`, `"daily"`, `14 error $.settings.Report.How is "daily", want "inline", "on_probe" or "off"`},
		{`["inflight"]`, `{}`, `14 error $.settings.Report.Columns is an object, want an array`},
		{`"ColdFrom": 0.16`, `"ColdFrom": 16`, `15 error $.settings.Safety.ColdFrom is 16`},
		{`"FallMs"`, `"a b'c"`, `15 warning $.settings.Safety.FallMs|15 warning $.settings.Safety['a b\'c'] unknown key`},
	} {
		changed := strings.Replace(sound, test.old, test.new, 1)
		if changed == sound {
			t.Fatalf("%s does not occur", test.old)
		}
		wantProblems(t, test.new, Check([]byte(changed)), strings.Split(test.want, "|"))
	}
}

// wantProblems compares problems with their line, severity, path and the begin of their reason, in any order.
func wantProblems(t *testing.T, name string, problems []Problem, want []string) {
	t.Helper()
	var got []string
	for _, p := range problems {
		got = append(got, strings.Join([]string{itoa(p.Line), p.Severity.String(), p.Path, p.Reason}, " "))
	}
	matched := len(got) == len(want)
	for _, wanted := range want {
		found := false
		for _, text := range got {
			found = found || strings.HasPrefix(text, wanted)
		}
		matched = matched && found
	}
	if !matched {
		t.Errorf("%s: problems are\n%s\nwant\n%s", name, strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

func itoa(number int) string {
	text, _ := json.Marshal(number) // a number always has a text
	return string(text)
}

func TestTextThatIsNoJSONHasTheLineOfTheFault(t *testing.T) {
	for text, line := range map[string]int{"": 1, "{\n\"name\": }": 2, sound + "\n\n}": 17, "{\n\n": 3} {
		problems := Check([]byte(text))
		if len(problems) != 1 || problems[0].Severity != Error || problems[0].Line != line || problems[0].Path != "$" {
			t.Errorf("%.20q: problems are %v, want one in line %d", text, problems, line)
		}
	}
	wantProblems(t, "an array", Check([]byte("[1]")), []string{"1 error $ is an array, want an object"})
}

// What keeps the gateway from starting must be an error here.
func TestWhatTheGatewayRejectsIsAnError(t *testing.T) {
	for _, old := range []string{`"listen"`, `"discovery"`, `"Classes"`, `"settings"`, `"MyNumber": 1`, `"Cancel": true`,
		`8c1f30d27a5be964`, `"AimMs": 400`} {
		text := strings.Replace(sound, old, strings.NewReplacer("1", `"x"`, "true", "3", "400", "[]", "8c", "xy",
			`"listen"`, `"a"`, `"discovery"`, `"b"`, `"Classes"`, `"c"`, `"settings"`, `"d"`).Replace(old), 1)
		file := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := config.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": file}[name] })
		if err == nil {
			_, err = cfg.RandomSeed()
		}
		if err == nil {
			t.Fatalf("%s: the gateway starts", old)
		}
		if Count(Check([]byte(text)), Error) == 0 {
			t.Errorf("%s: no error, but the gateway fails: %v", old, err)
		}
	}
}

func FuzzCheck(f *testing.F) {
	f.Add([]byte(sound))
	f.Add([]byte(`{"settings": {"Classes": [null, {}], "Zones": [1]}, "known": {"servers": [[]]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		usable := Count(Check(text), Error) == 0
		var cfg config.Config
		if err := json.Unmarshal(text, &cfg); err != nil && usable {
			t.Errorf("no error, but the gateway cannot decode it: %v", err)
		}
	})
}
