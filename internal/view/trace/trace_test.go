package trace

import (
	"strings"
	"testing"
)

const hostA = `  33.8 a {"time":"t","level":"INFO","msg":"domainCut","code":602,"host":"a","at":33800000,"detail":"kosice"}
noise {"x":
  34.1 a {"time":"t","level":"WARN","msg":"searchRefused","code":202,"host":"a","at":34100000,"request":"r1","detail":"pin: too few shards have a searcher within reach; attempts 0","tookMs":0.1}
  10.0 a {"time":"t","level":"INFO","msg":"platformDown","code":407,"host":"a","at":10000000}`

const hostB = `{"msg":"domainCut","code":602,"host":"b","at":33900000}
{"msg":"searchAnswered","code":201,"host":"b","at":35000000,"request":"r2","service":"wide","detail":"partial; s~3 timeout [i-7/1]; attempts 23","tookMs":71}`

func TestExplainRefusedRequest(t *testing.T) {
	r, err := Explain("r1", strings.NewReader(hostB), strings.NewReader(hostA))
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Lines) != 1 || len(r.Context) != 1 || r.Context[0].Name != "domainCut" || r.Context[0].Host != "a" {
		t.Fatalf("got %+v, want one line and the domainCut event of host a around it", r)
	}
	if want := "Host a gave no answer after 0.1 ms: pin: too few shards have a searcher within reach; attempts 0."; r.Summary != want {
		t.Errorf("got %q, want %q", r.Summary, want)
	}
}

func TestExplainPartialAnswerAndUnknownRequest(t *testing.T) {
	r, err := Explain("r2", strings.NewReader(hostA+"\n"+hostB))
	if err != nil || r.Summary != "Host b answered after 71.0 ms: partial; s~3 timeout [i-7/1]; attempts 23." {
		t.Errorf("got %+v and error %v, want the partial answer of host b", r, err)
	}
	if r, err = Explain("none", strings.NewReader(hostA)); err != nil || len(r.Lines) != 0 || !strings.HasPrefix(r.Summary, "No log") {
		t.Errorf("got %+v and error %v, want no line and a summary that starts with \"No log\"", r, err)
	}
}
