package parser_test

import (
	"strings"
	"testing"
	"time"

	"github.com/kingcupstile/kingcupstile/protocol/parser"
)

func TestFreeze(t *testing.T) {
	for value, good := range map[string]bool{
		"thu 06:00-sat 00:00": true, "thu 06:00": false, "thursday 06:00-sat 00:00": false, "thu 25:00-sat 00:00": false,
		"thu 06:00-thu 06:00": false,
	} {
		t.Run(value, func(t *testing.T) {
			text := `{"service": "desk", "mode": "plain", "pool": "desk", "weight": 20, "freeze": ["` + value + `"], "allow": []}`
			b, err := parser.Parse(parser.Bundle{}, "desk.service.jsonc", []byte(text))
			switch {
			case !good && (err == nil || !strings.Contains(err.Error(), "freeze")):
				t.Errorf("got %v", err)
			case good && (err != nil || b.Services[0].SkewWeight() != 20 ||
				!b.Services[0].IsFrozen(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))):
				t.Errorf("got %v, %v", b, err)
			}
		})
	}
}

func TestWeightHasBounds(t *testing.T) {
	for _, weight := range []string{"0", "100"} {
		text := `{"service": "desk", "mode": "plain", "pool": "desk", "weight": ` + weight + `, "allow": []}`
		if _, err := parser.Parse(parser.Bundle{}, "desk.service.jsonc", []byte(text)); err == nil {
			t.Errorf("weight %s is accepted", weight)
		}
	}
}
