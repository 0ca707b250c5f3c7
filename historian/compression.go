package historian

import (
	"bytes"
	"compress/flate"
	"io"

	"agatevalve/common/fault"
)

const (
	// packedMark begins a compressed value; JSON never begins with it.
	packedMark = 0x01
	// packFrom is the size in bytes from which values are compressed. Smaller
	// rows stay legible in the table.
	packFrom = 4 << 10
	// largestValue caps a value after decompression, in bytes.
	largestValue = 64 << 20
)

func pack(data []byte) []byte {
	if len(data) < packFrom {
		return data
	}
	var b bytes.Buffer
	b.WriteByte(packedMark)
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		panic("historian: default compression level refused: " + err.Error())
	}
	if _, err = w.Write(data); err == nil {
		err = w.Close()
	}
	if err != nil {
		panic("historian: write to memory failed: " + err.Error())
	}
	return b.Bytes()
}

func unpack(value []byte) ([]byte, error) {
	if len(value) == 0 || value[0] != packedMark {
		return value, nil
	}
	r := flate.NewReader(bytes.NewReader(value[1:]))
	data, err := io.ReadAll(io.LimitReader(r, largestValue+1))
	if err != nil {
		return nil, err
	}
	if len(data) > largestValue {
		return nil, fault.New(fault.TooLarge, "restore the row from a backup", "the value exceeds %d bytes", largestValue)
	}
	return data, nil
}
