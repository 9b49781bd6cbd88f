// Package kingcupstile declares the interfaces for behaviour that varies, such as the platform's store, the links to
// endpoints and the choice of an endpoint. The packages in the folders below implement them; this package imports only
// values of the state layer and no implementation.
package kingcupstile
