// Package leveler decides which ranks hold which experts, so that no rank has much more to do than the mean;
// it never gives an order.
package leveler
