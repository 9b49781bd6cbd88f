package messenger_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/kingcupstile/kingcupstile/protocol/messenger"
	"github.com/kingcupstile/kingcupstile/state/evacuation"
	"github.com/kingcupstile/kingcupstile/state/peer"
	"github.com/kingcupstile/kingcupstile/state/position"
	"github.com/kingcupstile/kingcupstile/state/suspect"
)

func TestEntryBeat(t *testing.T) {
	beat := peer.Heartbeat{
		Name: "entry-1", Start: 17, Ready: true, ConfigVersion: 9, ConfigAge: 300 * time.Millisecond,
		ConfigEra: 2, RunnersAt: position.New(3, 41), HasEra: true, Sent: 90 * time.Second,
		Echo: 89 * time.Second, EchoDelay: 20 * time.Millisecond, EchoStart: 3,
		InFlight: map[uint32]peer.InFlight{7: {Requests: 2, UnreadTokens: 900}},
		Silences: []peer.Silence{{Name: "entry-2", Start: 18, Age: 40 * time.Second}},
		Crashes:  []suspect.Crash{{Fingerprint: "5f", Runner: 7, At: 88 * time.Second}},
		Evacuations: []evacuation.Evacuation{
			{Centre: "kgl-a", Position: position.New(2, 40)}, {Centre: "kgl-b", Position: position.New(3, 41), Ended: true},
		},
	}
	datagram, err := messenger.EncodeEntryHeartbeat(beat)
	if err != nil {
		t.Fatal(err)
	}
	got, err := messenger.DecodeEntryHeartbeat(datagram)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(beat, got); diff != "" {
		t.Error(diff)
	}
}

func TestMalformedEntryBeatIsRejected(t *testing.T) {
	for name, datagram := range map[string][]byte{"not protobuf": {0xff, 0xff, 0xff}, "lists of different lengths": {0x5d, 1, 0, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			if beat, err := messenger.DecodeEntryHeartbeat(datagram); err == nil {
				t.Errorf("read as %+v", beat)
			}
		})
	}
}
