package gateway

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// A packed digest is a byte packedMark, which no JSON begins with, the acknowledged
// number of the receiver's own digest, and a compressed body: the digest as JSON without
// its counts, then the counts by host in order of their IDs. The body does not depend on
// the receiver.
const (
	packedMark = 1
	// maxUnpackedDigestBytes limits a packed digest after decompression.
	maxUnpackedDigestBytes = 1 << 20
	// maxPackedCounts limits the hosts that a packed digest counts.
	maxPackedCounts = 1 << 16
)

var errDigestDamaged = errors.New("the packed digest is damaged")

// digestPackers holds compressors, which take several hundred kilobytes.
var digestPackers = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		panic(err) // the level is a valid constant
	}
	return compressor
}}

// flateReader is a decompressor that can be used again.
type flateReader interface {
	io.Reader
	flate.Resetter
}

// digestUnpackers holds decompressors. A hub receives about a thousand digests a second.
var digestUnpackers = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)).(flateReader) }}

// packedDigest encodes the body of a digest once, for all its receivers.
type packedDigest struct {
	digest digest
	once   sync.Once
	body   []byte
	err    error
}

// datagram returns the packed digest for a receiver.
func (p *packedDigest) datagram(ack uint32) ([]byte, error) {
	p.once.Do(func() { p.body, p.err = packDigest(p.digest) })
	return append(binary.AppendUvarint([]byte{packedMark}, uint64(ack)), p.body...), p.err
}

func packDigest(d digest) ([]byte, error) {
	inFlight, sent := d.InFlight, d.Sent
	d.InFlight, d.Sent = nil, nil
	head, err := json.Marshal(d)
	if err != nil {
		return nil, fmt.Errorf("pack a digest: %w", err)
	}
	content := append(binary.AppendUvarint(nil, uint64(len(head))), head...)
	content = appendCounts(appendCounts(content, inFlight), sent)
	var out bytes.Buffer
	compressor := digestPackers.Get().(*flate.Writer)
	defer digestPackers.Put(compressor)
	compressor.Reset(&out)
	if _, err := compressor.Write(content); err != nil {
		return nil, fmt.Errorf("pack a digest: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack a digest: %w", err)
	}
	return out.Bytes(), nil
}

// appendCounts appends counts in four columns, which compress better than rows: of each
// host the length of what its ID shares with the one before, the length of the rest, and
// the count; then the rests.
func appendCounts(out []byte, counts map[string]int) []byte {
	ids := slices.Sorted(maps.Keys(counts))
	out = binary.AppendUvarint(out, uint64(len(ids)))
	var rests []byte
	restLengths := make([]int, len(ids))
	previous := ""
	for i, id := range ids {
		shared := 0
		for shared < min(len(id), len(previous)) && id[shared] == previous[shared] {
			shared++
		}
		out = binary.AppendUvarint(out, uint64(shared))
		rests = append(rests, id[shared:]...)
		restLengths[i] = len(id) - shared
		previous = id
	}
	for _, length := range restLengths {
		out = binary.AppendUvarint(out, uint64(length))
	}
	for _, id := range ids {
		out = binary.AppendUvarint(out, uint64(max(counts[id], 0)))
	}
	return append(out, rests...)
}

// unpackDigest decodes a packed digest.
func unpackDigest(datagram []byte) (digest, error) {
	ack, n := binary.Uvarint(datagram[1:])
	if n <= 0 || ack > 1<<32-1 {
		return digest{}, errDigestDamaged
	}
	decompressor := digestUnpackers.Get().(flateReader)
	defer digestUnpackers.Put(decompressor)
	err := decompressor.Reset(bytes.NewReader(datagram[1+n:]), nil)
	if err != nil {
		return digest{}, fmt.Errorf("%w: %w", errDigestDamaged, err)
	}
	content, err := io.ReadAll(io.LimitReader(decompressor, maxUnpackedDigestBytes))
	if err != nil {
		return digest{}, fmt.Errorf("%w: %w", errDigestDamaged, err)
	}
	r := countsReader{rest: content}
	var d digest
	if err := json.Unmarshal(r.bytes(r.number(len(content))), &d); err != nil {
		return digest{}, fmt.Errorf("%w: %w", errDigestDamaged, err)
	}
	d.InFlight, d.Sent, d.Ack = r.counts(), r.counts(), uint32(ack)
	if r.damaged {
		return digest{}, errDigestDamaged
	}
	return d, nil
}

// countsReader reads the parts of a packed digest.
type countsReader struct {
	rest    []byte
	damaged bool
}

// number reads a number from 0 to limit.
func (r *countsReader) number(limit int) int {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 || v > uint64(limit) {
		r.damaged, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[n:]
	return int(v)
}

func (r *countsReader) numbers(count, limit int) []int {
	if count > len(r.rest) { // each takes at least one byte
		r.damaged = true
		return nil
	}
	out := make([]int, count)
	for i := range out {
		out[i] = r.number(limit)
	}
	return out
}

func (r *countsReader) bytes(count int) []byte {
	if count > len(r.rest) {
		r.damaged, r.rest = true, nil
		return nil
	}
	out := r.rest[:count]
	r.rest = r.rest[count:]
	return out
}

// counts reads what appendCounts wrote.
func (r *countsReader) counts() map[string]int {
	n := r.number(maxPackedCounts)
	shared, restLengths, values := r.numbers(n, maxDigestBytes), r.numbers(n, maxDigestBytes), r.numbers(n, 1<<31-1)
	if r.damaged || n == 0 {
		return nil
	}
	out := make(map[string]int, n)
	previous := ""
	for i, length := range restLengths {
		rest := r.bytes(length)
		if r.damaged || shared[i] > len(previous) {
			r.damaged = true
			return nil
		}
		previous = previous[:shared[i]] + string(rest)
		out[previous] = values[i]
	}
	return out
}
