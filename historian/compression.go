package historian

import (
	"bytes"
	"compress/flate"
	"io"

	"agatevalve/common/fault"
)

const (
	// compressedPrefix is the first byte of a compressed value. JSON never
	// begins with it.
	compressedPrefix = 0x01
	// compressionThresholdBytes is the size from which values are compressed.
	// Smaller rows stay readable in the table.
	compressionThresholdBytes = 4 << 10
	// maxValueBytes is the maximum size of a value after decompression.
	maxValueBytes = 64 << 20
)

// compress compresses the value of a row, unless it is small.
func compress(data []byte) []byte {
	if len(data) < compressionThresholdBytes {
		return data
	}
	var b bytes.Buffer
	b.WriteByte(compressedPrefix)
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic("historian: create compressor: " + err.Error())
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("historian: compress value: " + err.Error())
	}
	return b.Bytes()
}

// decompress returns the value given to compress.
func decompress(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != compressedPrefix {
		return value, nil
	}
	r := flate.NewReader(bytes.NewReader(value[1:]))
	data, err := io.ReadAll(io.LimitReader(r, maxValueBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxValueBytes {
		return nil, fault.New(fault.TooLarge, "restore the row from a backup", "the value exceeds %d bytes", maxValueBytes)
	}
	return data, nil
}
