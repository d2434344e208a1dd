package settings

import (
	"encoding/json"
	"testing"
)

// Deployments may have settings that this version does not know. They must not make the file unusable.
func TestKeysMatchInAnyCaseAndUnknownKeysAreIgnored(t *testing.T) {
	var s Settings
	text := `{"balancers":3,"NEWKEY":{"a":[1]},"classes":[{"KEYTTLMS":1500,"AimStretch":2}],"limits":{"sendcap":4}}`
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		t.Fatal(err)
	}
	if s.Balancers != 3 || len(s.Classes) != 1 || s.Classes[0].KeyTTLMs != 1500 || s.Limits.SendCap != 4 {
		t.Errorf("%+v", s)
	}
}
