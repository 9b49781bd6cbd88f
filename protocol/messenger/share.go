package messenger

import (
	"time"

	"github.com/kingcupstile/kingcupstile/coordination/limiter"
	"github.com/kingcupstile/kingcupstile/protocol/messenger/wire"
)

// EncodeDemands returns the message with which an entry asks to borrow shares of accounts' limits.
func EncodeDemands(entry string, demands []limiter.Demand) *wire.BorrowRequest {
	m := &wire.BorrowRequest{Entry: entry}
	for _, d := range demands {
		m.Demands = append(m.Demands, &wire.Demand{
			Service: d.Key.Service, Account: d.Key.Account, Limit: d.Limit, Rate: d.Rate, Held: d.Held,
		})
	}
	return m
}

// DecodeDemands returns the demands in a message.
func DecodeDemands(m *wire.BorrowRequest) []limiter.Demand {
	demands := make([]limiter.Demand, 0, len(m.GetDemands()))
	for _, d := range m.GetDemands() {
		demands = append(demands, limiter.Demand{
			Key:   limiter.Key{Service: d.GetService(), Account: d.GetAccount()},
			Limit: d.GetLimit(), Rate: d.GetRate(), Held: d.GetHeld(),
		})
	}
	return demands
}

// EncodeShares returns the message that lends shares of accounts' limits.
func EncodeShares(shares []limiter.Share) *wire.BorrowReply {
	m := &wire.BorrowReply{}
	for _, s := range shares {
		m.Shares = append(m.Shares, &wire.Share{
			Service: s.Key.Service, Account: s.Key.Account, Rate: s.Rate, Life: int64(s.TTL),
		})
	}
	return m
}

// DecodeShares returns the shares in a message.
func DecodeShares(m *wire.BorrowReply) []limiter.Share {
	shares := make([]limiter.Share, 0, len(m.GetShares()))
	for _, s := range m.GetShares() {
		shares = append(shares, limiter.Share{
			Key:  limiter.Key{Service: s.GetService(), Account: s.GetAccount()},
			Rate: s.GetRate(), TTL: time.Duration(s.GetLife()),
		})
	}
	return shares
}
