package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/cloverwheel/cloverwheel/internal/fault"
)

const objectService = "object store"

// MemoryObjects is the object store in memory. It implements platform.Objects.
type MemoryObjects struct {
	Switch
	mutex   sync.Mutex
	objects map[string][]byte
	puts    int
}

// NewMemoryObjects returns an empty store.
func NewMemoryObjects() *MemoryObjects {
	return &MemoryObjects{objects: map[string][]byte{}}
}

// Puts returns how many writes took effect.
func (o *MemoryObjects) Puts() int {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.puts
}

// Put implements platform.Objects.
func (o *MemoryObjects) Put(ctx context.Context, key string, value []byte) error {
	value = bytes.Clone(value)
	return o.write(ctx, objectService, func() error {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.objects[key] = value
		o.puts++
		return nil
	})
}

// Get implements platform.Objects.
func (o *MemoryObjects) Get(ctx context.Context, key string) ([]byte, error) {
	var found []byte
	err := o.read(ctx, objectService, func() error {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		value, exists := o.objects[key]
		if !exists {
			return fault.Newf(fault.NotFound, "check the key", "no object %q", key)
		}
		found = bytes.Clone(value)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return found, nil
}

// List implements platform.Objects; keys are sorted.
func (o *MemoryObjects) List(ctx context.Context, prefix string) ([]string, error) {
	var found []string
	err := o.read(ctx, objectService, func() error {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		for key := range o.objects {
			if strings.HasPrefix(key, prefix) {
				found = append(found, key)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(found)
	return found, nil
}

// Delete implements platform.Objects; deleting an absent object succeeds.
func (o *MemoryObjects) Delete(ctx context.Context, key string) error {
	return o.write(ctx, objectService, func() error {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		delete(o.objects, key)
		return nil
	})
}
