package translator

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/kingcupstile/kingcupstile"
	"github.com/kingcupstile/kingcupstile/state/fault"
)

// maxDocumentBytes limits the size of a decompressed document; a longer one is cut off there and fails to decode.
const maxDocumentBytes = 64 << 20

// compress returns a document as gzip-compressed JSON.
func compress(document any) ([]byte, error) {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	if err := json.NewEncoder(w).Encode(document); err != nil {
		return nil, fault.New("encode", kingcupstile.KindInvalid, err)
	}
	if err := w.Close(); err != nil {
		return nil, fault.New("encode", kingcupstile.KindInvalid, err)
	}
	return buffer.Bytes(), nil
}

// decompress decodes gzip-compressed JSON into a document, or returns an Error of KindInvalid.
func decompress(op string, value []byte, document any) error {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return fault.New(op, kingcupstile.KindInvalid, err)
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return fault.New(op, kingcupstile.KindInvalid, err)
	}
	if err := json.Unmarshal(text, document); err != nil {
		return fault.New(op, kingcupstile.KindInvalid, err)
	}
	return nil
}
