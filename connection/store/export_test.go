package store

// DataOf returns the data of a stored entry.
func DataOf(e Entry) ([]byte, error) {
	item, _, err := itemOf(e)
	return item.Data, err
}

// Fuzz targets of the decoders.
var (
	OpenEnvelope  = openEnvelope
	SealEnvelope  = sealEnvelope
	DecodeRefusal = decodeRefusal
)

// WriteID names a write.
type WriteID = writeID
