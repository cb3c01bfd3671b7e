package store

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"

	"github.com/cockroachdb/errors"
)

// Page layout of bbolt's file format 2: a header of 16 bytes (id, flags, count, overflow), then elements. The format
// has not changed since 2013; the numbers are in host byte order, which is little endian on the supported platforms.
const (
	headerSize   = 16
	branchFlag   = 0x01
	leafFlag     = 0x02
	metaFlag     = 0x04
	freelistFlag = 0x10
	bucketFlag   = 0x01
	branchSize   = 16
	leafSize     = 16
	metaSize     = 64
	fileMagic    = 0xED0CDAED
	fileVersion  = 2
)

var little = binary.LittleEndian

// checker verifies the structure of a data file before bbolt maps it. bbolt trusts the page references, so that a
// damaged one would end the process with a fault or let a later write overwrite live pages.
type checker struct {
	file  *os.File
	pages uint64          // pages in use according to the meta page
	seen  map[uint64]bool // pages that are referenced
	read  uint64
}

// checkFile returns the number of bytes read and *CorruptError when the structure is damaged.
func checkFile(path string) (uint64, error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, errors.Wrap(err, "open the data file")
	}
	c := &checker{file: f, seen: map[uint64]bool{0: true, 1: true}}
	err = c.check()
	return c.read, errors.CombineErrors(err, f.Close())
}

func (c *checker) check() error {
	root, freelist, err := c.meta()
	if err != nil {
		return err
	}
	info, err := c.file.Stat()
	if err != nil {
		return errors.Wrap(err, "read the size of the data file")
	}
	if uint64(info.Size()) < c.pages*pageSize {
		return corrupt("the file is cut off: %d bytes instead of at least %d", info.Size(), c.pages*pageSize)
	}
	if err := c.tree(root); err != nil {
		return err
	}
	if err := c.freelist(freelist); err != nil {
		return err
	}
	if uint64(len(c.seen)) != c.pages {
		return corrupt("%d of %d pages are accounted for", len(c.seen), c.pages)
	}
	return nil
}

// meta verifies both meta pages. They alternate, so that their transaction numbers differ by one.
func (c *checker) meta() (root, freelist uint64, err error) {
	var tx [2]uint64
	for i := range tx {
		p := make([]byte, pageSize)
		if err := c.readAt(p, uint64(i)); err != nil {
			return 0, 0, err
		}
		m := p[headerSize : headerSize+metaSize]
		h := fnv.New64a()
		_, _ = h.Write(m[:metaSize-8])
		if little.Uint32(m) != fileMagic || little.Uint32(m[4:]) != fileVersion || little.Uint32(m[8:]) != pageSize ||
			little.Uint64(m[56:]) != h.Sum64() || little.Uint16(p[8:]) != metaFlag {
			return 0, 0, corrupt("meta page %d is damaged", i)
		}
		tx[i] = little.Uint64(m[48:])
		if i == 0 || tx[1] > tx[0] {
			root, freelist, c.pages = little.Uint64(m[16:]), little.Uint64(m[32:]), little.Uint64(m[40:])
		}
	}
	if tx[0]+1 != tx[1] && tx[1]+1 != tx[0] {
		return 0, 0, corrupt("meta pages belong to transactions %d and %d", tx[0], tx[1])
	}
	return root, freelist, nil
}

func (c *checker) readAt(p []byte, id uint64) error {
	n, err := c.file.ReadAt(p, int64(id*pageSize))
	c.read += uint64(n)
	if errors.Is(err, io.EOF) {
		return corrupt("page %d is cut off", id)
	}
	return errors.Wrap(err, "read the data file")
}

// page reads a page with its overflow pages and notes that they are referenced.
func (c *checker) page(id uint64) ([]byte, error) {
	if id >= c.pages {
		return nil, corrupt("page %d is outside the file", id)
	}
	p := make([]byte, pageSize)
	if err := c.readAt(p, id); err != nil {
		return nil, err
	}
	overflow := uint64(little.Uint32(p[12:]))
	if little.Uint64(p) != id || id+overflow >= c.pages {
		return nil, corrupt("page %d has a damaged header", id)
	}
	for i := id; i <= id+overflow; i++ {
		if c.seen[i] {
			return nil, corrupt("page %d is referenced twice", i)
		}
		c.seen[i] = true
	}
	if overflow > 0 {
		rest := make([]byte, overflow*pageSize)
		if err := c.readAt(rest, id+1); err != nil {
			return nil, err
		}
		p = append(p, rest...)
	}
	return p, nil
}

func (c *checker) tree(id uint64) error {
	p, err := c.page(id)
	if err != nil {
		return err
	}
	return c.elements(p, id)
}

func (c *checker) elements(p []byte, id uint64) error {
	count := uint64(little.Uint16(p[10:]))
	if uint64(len(p)) < headerSize+count*leafSize {
		return corrupt("page %d has too many elements", id)
	}
	switch little.Uint16(p[8:]) {
	case branchFlag:
		for i := range count {
			e := p[headerSize+i*branchSize:]
			if _, err := span(e, little.Uint32(e), little.Uint32(e[4:]), id); err != nil {
				return err
			}
			if err := c.tree(little.Uint64(e[8:])); err != nil {
				return err
			}
		}
		return nil
	case leafFlag:
		for i := range count {
			if err := c.leaf(p[headerSize+i*leafSize:], id); err != nil {
				return err
			}
		}
		return nil
	}
	return corrupt("page %d has an unexpected type", id)
}

func (c *checker) leaf(e []byte, id uint64) error {
	pos, keySize, valueSize := little.Uint32(e[4:]), little.Uint32(e[8:]), little.Uint32(e[12:])
	key, err := span(e, pos, keySize, id)
	if err != nil {
		return err
	}
	value, err := span(e[len(key)+int(pos):], 0, valueSize, id)
	if err != nil || little.Uint32(e) != bucketFlag {
		return err
	}
	if len(value) < headerSize {
		return corrupt("bucket on page %d is cut off", id)
	}
	if root := little.Uint64(value); root != 0 {
		return c.tree(root)
	}
	if len(value) < 2*headerSize {
		return corrupt("bucket on page %d is cut off", id)
	}
	return c.elements(value[headerSize:], id)
}

func span(e []byte, pos, size uint32, id uint64) ([]byte, error) {
	if uint64(pos)+uint64(size) > uint64(len(e)) {
		return nil, corrupt("element of page %d is cut off", id)
	}
	return e[pos : pos+size], nil
}

func (c *checker) freelist(id uint64) error {
	p, err := c.page(id)
	if err != nil {
		return err
	}
	count, ids := uint64(little.Uint16(p[10:])), p[headerSize:]
	if count == 0xFFFF {
		count, ids = little.Uint64(ids), ids[8:]
	}
	if little.Uint16(p[8:]) != freelistFlag || count > uint64(len(ids))/8 {
		return corrupt("the list of free pages is damaged")
	}
	for i := range count {
		free := little.Uint64(ids[i*8:])
		if free >= c.pages || c.seen[free] {
			return corrupt("page %d is free and in use", free)
		}
		c.seen[free] = true
	}
	return nil
}
