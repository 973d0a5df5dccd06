package edge

import (
	"context"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/hemlockcroft/hemlockcroft/internal/host/clock"
	"github.com/hemlockcroft/hemlockcroft/internal/router/directory"
	"github.com/hemlockcroft/hemlockcroft/internal/router/gossip"
	"github.com/hemlockcroft/hemlockcroft/internal/router/rpc"
	"github.com/hemlockcroft/hemlockcroft/internal/standin/answers"
)

// TestBrokenAnswers guards against a response that violates HTTP/1.1 or breaks off and is
// taken for a peer's, and against losing a sound one.
func TestBrokenAnswers(t *testing.T) {
	sender := newFleetMember(300)
	sender.directory.Replace(clock.Now(), []directory.Entry{{ID: "engine-1", Service: "drafter", Address: "10.1.64.30:8348", Slots: 64, Revision: 1, Incarnation: 1}}, 7)
	sender.confirmUpstreams(clock.Now(), 7)
	list, err := sender.listRelay.encode(clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	state, err := proto.Marshal(&rpc.FetchOrdersResponse{Document: []byte("state"), Revision: 7, AgeMs: 5})
	if err != nil {
		t.Fatal(err)
	}
	relay, lists := newOperatorStateRelay(newTopicTracker(gossip.OperatorState, 0, 0)), newFleetMember(300).listRelay
	for name, read := range map[string]struct {
		content answers.Content
		read    func(address string, _ answers.Case) error
	}{
		"operator state": {answers.NewContent("Content-Type: application/protobuf\r\n", string(state)), func(address string, _ answers.Case) error {
			_, _, err := relay.fetchFrom(context.Background(), address)
			return err
		}},
		"list of upstreams": {answers.NewContent("", string(list)), func(address string, _ answers.Case) error {
			_, _, _, err := lists.fetchFrom(context.Background(), address)
			return err
		}},
		"explanation": {answers.NewContent("Content-Type: application/json\r\n", `{"status":200}`), func(address string, _ answers.Case) error {
			_, err := AskExplanation(context.Background(), address, Question{Method: "GET", Path: "/"})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faults, err := answers.Play(read.content, false, read.read)
			if err != nil {
				t.Fatal(err)
			}
			if len(faults) > 0 {
				t.Error(strings.Join(faults, "\n"))
			}
		})
	}
}
