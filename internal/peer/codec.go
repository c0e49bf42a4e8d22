package peer

import (
	"bytes"
	"encoding"
	"encoding/binary"
	"encoding/gob"
	"reflect"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

// payloadKind is the first byte of an encoded message.
type payloadKind byte

const (
	// payloadPlain is followed by one self-contained gob stream. It is used for
	// types with interface fields, whose type descriptors depend on the value.
	payloadPlain payloadKind = 1
	// payloadSchema is followed by the length and bytes of the gob type
	// descriptors (the schema), and then by the encoded value alone.
	payloadSchema payloadKind = 2
)

// Limits on the state that is kept between messages.
const (
	maxIdleCoders   = 32       // for each type and direction
	maxReusedBuffer = 64 << 10 // bytes; coders with larger buffers are not reused
	maxSchemas      = 16       // cached for each received type
	maxSchemaBytes  = 16 << 10
)

var (
	encoders sync.Map // reflect.Type → *encoderPool
	decoders sync.Map // reflect.Type → *decoderPool
)

// Encode returns value encoded with gob. Most of the cost of gob is compiling the
// type, so encoders that have already sent the type descriptors are reused.
func Encode(value any) ([]byte, error) {
	reflected := reflect.Indirect(reflect.ValueOf(value))
	if !reflected.IsValid() {
		return nil, eris.New("encode peer message: nil value")
	}
	return encoderPoolOf(reflected.Type()).encode(reflected)
}

// Decode decodes one encoded value from payload into target, a pointer. Its error
// is a fault.Invalid.
func Decode(payload []byte, target any) error {
	if err := decode(payload, target); err != nil {
		return fault.Newf(fault.Invalid, "run the same version on all nodes", "undecodable peer message: %v", err)
	}
	return nil
}

func decode(payload []byte, target any) error {
	if len(payload) == 0 {
		return eris.New("empty payload")
	}
	switch payloadKind(payload[0]) {
	case payloadPlain:
		return gob.NewDecoder(bytes.NewReader(payload[1:])).Decode(target)
	case payloadSchema:
		schema, value, err := splitSchema(payload)
		if err != nil {
			return err
		}
		if !isSingleMessage(value) {
			return eris.New("value is not one gob message")
		}
		return decoderPoolOf(reflect.TypeOf(target)).decode(schema, value, target)
	default:
		return eris.Errorf("unknown payload kind %d", payload[0])
	}
}

// isSingleMessage reports whether value is exactly one gob message according to its
// length prefix. Otherwise it could carry type descriptors that would remain in a
// reused decoder. gob writes a length below 128 as one byte, and a larger one
// big-endian after the negated count of its bytes.
func isSingleMessage(value []byte) bool {
	if len(value) == 0 {
		return false
	}
	if value[0] < 128 {
		return int(value[0]) == len(value)-1
	}
	width := 256 - int(value[0])
	if width > 4 || len(value) < 1+width {
		return false
	}
	length := 0
	for _, digit := range value[1 : 1+width] {
		length = length<<8 | int(digit)
	}
	return length == len(value)-1-width
}

// splitSchema splits a payloadSchema payload into schema and value.
func splitSchema(payload []byte) (schema, value []byte, err error) {
	size, width := binary.Uvarint(payload[1:])
	if width <= 0 || size > maxSchemaBytes || size > uint64(len(payload)-1-width) {
		return nil, nil, eris.New("bad schema size")
	}
	start := 1 + width
	end := start + int(size)
	return payload[start:end], payload[end:], nil
}

// joinSchema is the reverse of splitSchema.
func joinSchema(schema, value []byte) []byte {
	payload := make([]byte, 0, 1+binary.MaxVarintLen32+len(schema)+len(value))
	payload = append(payload, byte(payloadSchema))
	payload = binary.AppendUvarint(payload, uint64(len(schema)))
	payload = append(payload, schema...)
	return append(payload, value...)
}

// registerType assigns the gob type numbers of a type. All nodes of one version
// register handlers in the same order, so their schemas are equal byte for byte.
func registerType(goType reflect.Type) *encoderPool {
	for goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	return encoderPoolOf(goType)
}

// encoderPool holds encoders that have already sent the descriptors of one type.
type encoderPool struct {
	goType reflect.Type
	schema []byte // nil: messages are encoded as payloadPlain
	idle   freeList[*primedEncoder]
}

type primedEncoder struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

func encoderPoolOf(goType reflect.Type) *encoderPool {
	if known, ok := encoders.Load(goType); ok {
		return known.(*encoderPool)
	}
	pool := &encoderPool{goType: goType, schema: schemaOf(goType)}
	if pool.schema != nil {
		knownSchemas.add(pool.schema)
	}
	known, _ := encoders.LoadOrStore(goType, pool)
	return known.(*encoderPool)
}

// schemaOf returns the type descriptors that gob sends before the first value, or
// nil if they depend on the value or are too large.
func schemaOf(goType reflect.Type) []byte {
	if containsInterface(goType, map[reflect.Type]bool{}) {
		return nil
	}
	primed, err := newPrimedEncoder(goType)
	if err != nil {
		return nil
	}
	both := bytes.Clone(primed.buffer.Bytes())
	primed.buffer.Reset()
	if err := primed.encoder.EncodeValue(reflect.New(goType).Elem()); err != nil {
		return nil
	}
	schema := both[:len(both)-primed.buffer.Len()]
	if len(schema) > maxSchemaBytes {
		return nil
	}
	return schema
}

// newPrimedEncoder returns an encoder whose buffer holds the type descriptors and
// a zero value.
func newPrimedEncoder(goType reflect.Type) (*primedEncoder, error) {
	primed := &primedEncoder{}
	primed.encoder = gob.NewEncoder(&primed.buffer)
	err := primed.encoder.EncodeValue(reflect.New(goType).Elem())
	return primed, err
}

func (p *encoderPool) encode(value reflect.Value) ([]byte, error) {
	if p.schema == nil {
		return encodePlain(value)
	}
	primed, err := p.get()
	if err != nil {
		return nil, eris.Wrap(err, "prime peer encoder")
	}
	primed.buffer.Reset()
	if err := primed.encoder.EncodeValue(value); err != nil {
		return nil, eris.Wrap(err, "encode peer message")
	}
	payload := joinSchema(p.schema, primed.buffer.Bytes())
	p.put(primed)
	return payload, nil
}

func (p *encoderPool) get() (*primedEncoder, error) {
	if primed, ok := p.idle.get(); ok {
		return primed, nil
	}
	return newPrimedEncoder(p.goType)
}

func (p *encoderPool) put(primed *primedEncoder) {
	if primed.buffer.Cap() <= maxReusedBuffer {
		p.idle.put(primed)
	}
}

func encodePlain(value reflect.Value) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.WriteByte(byte(payloadPlain))
	if err := gob.NewEncoder(&buffer).EncodeValue(value); err != nil {
		return nil, eris.Wrap(err, "encode peer message")
	}
	return buffer.Bytes(), nil
}

// decoderPool holds decoders for one target type, grouped by the schema that they
// have already read.
type decoderPool struct {
	mutex   sync.RWMutex
	schemas map[string]*freeList[*primedDecoder]
}

type primedDecoder struct {
	reader  bytes.Reader
	decoder *gob.Decoder
}

func decoderPoolOf(goType reflect.Type) *decoderPool {
	if known, ok := decoders.Load(goType); ok {
		return known.(*decoderPool)
	}
	known, _ := decoders.LoadOrStore(goType, &decoderPool{schemas: map[string]*freeList[*primedDecoder]{}})
	return known.(*decoderPool)
}

func (p *decoderPool) decode(schema, value []byte, target any) error {
	idle := p.idleFor(schema)
	primed, ok := idle.get()
	if !ok {
		primed = &primedDecoder{}
		primed.decoder = gob.NewDecoder(&primed.reader)
		value = append(bytes.Clone(schema), value...)
	}
	primed.reader.Reset(value)
	if err := primed.decoder.Decode(target); err != nil {
		return err
	}
	if primed.reader.Len() > 0 {
		return eris.New("bytes after the value")
	}
	if len(value) <= maxReusedBuffer {
		primed.reader.Reset(nil)
		idle.put(primed)
	}
	return nil
}

// idleFor returns the free list for a schema, or nil for a new schema once maxSchemas are cached.
func (p *decoderPool) idleFor(schema []byte) *freeList[*primedDecoder] {
	p.mutex.RLock()
	idle := p.schemas[string(schema)]
	p.mutex.RUnlock()
	if idle != nil {
		return idle
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if idle = p.schemas[string(schema)]; idle == nil && len(p.schemas) < maxSchemas {
		idle = &freeList[*primedDecoder]{}
		p.schemas[string(schema)] = idle
	}
	return idle
}

// freeList holds up to maxIdleCoders idle coders. A nil list holds none.
type freeList[T any] struct {
	mutex sync.Mutex
	idle  []T
}

func (l *freeList[T]) get() (coder T, ok bool) {
	if l == nil {
		return coder, false
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.idle) == 0 {
		return coder, false
	}
	last := len(l.idle) - 1
	coder = l.idle[last]
	l.idle = l.idle[:last]
	return coder, true
}

func (l *freeList[T]) put(coder T) {
	if l == nil {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.idle) < maxIdleCoders {
		l.idle = append(l.idle, coder)
	}
}

var (
	gobEncoderType      = reflect.TypeFor[gob.GobEncoder]()
	binaryMarshalerType = reflect.TypeFor[encoding.BinaryMarshaler]()
)

// containsInterface reports whether gob would encode an interface value in goType.
func containsInterface(goType reflect.Type, seen map[reflect.Type]bool) bool {
	if seen[goType] || hasCustomMarshaler(goType) {
		return false
	}
	seen[goType] = true
	switch goType.Kind() {
	case reflect.Interface:
		return true
	case reflect.Pointer, reflect.Slice, reflect.Array:
		return containsInterface(goType.Elem(), seen)
	case reflect.Map:
		return containsInterface(goType.Key(), seen) || containsInterface(goType.Elem(), seen)
	case reflect.Struct:
		for i := range goType.NumField() {
			field := goType.Field(i)
			if field.IsExported() && containsInterface(field.Type, seen) {
				return true
			}
		}
	}
	return false
}

func hasCustomMarshaler(goType reflect.Type) bool {
	pointer := reflect.PointerTo(goType)
	return pointer.Implements(gobEncoderType) || pointer.Implements(binaryMarshalerType)
}
