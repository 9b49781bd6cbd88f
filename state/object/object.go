package object

import "slices"

// Kind is a collection of platform objects.
type Kind string

// The kinds of object that this project stores on the platform.
const (
	KindConfig  Kind = "config"
	KindPart    Kind = "part"
	KindClaim   Kind = "claim"
	KindMap     Kind = "map"
	KindSuspect Kind = "suspect"
	KindMember  Kind = "member"
)

// MaxValueBytes is the largest value, in bytes, that the platform stores in one object.
const MaxValueBytes = 1 << 20

// Object is one version of a platform object.
type Object struct {
	kind    Kind
	name    string
	version uint64
	value   []byte
}

// Option sets a field of an Object under construction.
type Option func(*Object)

// Version sets the object's version; a write succeeds only if the stored version is the same.
func Version(v uint64) Option { return func(o *Object) { o.version = v } }

// Value sets the object's content.
func Value(b []byte) Option { return func(o *Object) { o.value = slices.Clone(b) } }

// New returns the object of the given kind and name.
func New(kind Kind, name string, options ...Option) Object {
	o := Object{kind: kind, name: name}
	for _, option := range options {
		option(&o)
	}
	return o
}

// Kind returns the collection that the object belongs to.
func (o Object) Kind() Kind { return o.kind }

// Name returns the object's name within its kind.
func (o Object) Name() string { return o.name }

// Version returns the object's version, 0 if it was never stored.
func (o Object) Version() uint64 { return o.version }

// Value returns a copy of the content.
func (o Object) Value() []byte { return slices.Clone(o.value) }

// WithVersion returns the object at version v.
func (o Object) WithVersion(v uint64) Object {
	o.version = v
	return o
}

// WithValue returns the object with content b.
func (o Object) WithValue(b []byte) Object {
	o.value = slices.Clone(b)
	return o
}
