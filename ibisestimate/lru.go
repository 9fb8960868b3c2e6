package ibisestimate

import "container/list"

// lru is a map that drops its least recently used entries. The zero value is empty.
type lru[K comparable, V any] struct {
	items map[K]*list.Element
	order list.List // of *entry, most recently used first
}

type entry[K comparable, V any] struct {
	key   K
	value V
}

// get returns the value of k, or nil.
func (l *lru[K, V]) get(k K) *V {
	el, ok := l.items[k]
	if !ok {
		return nil
	}
	l.order.MoveToFront(el)
	return &el.Value.(*entry[K, V]).value
}

// add returns the value of k, which it adds if it is missing. It keeps at most limit entries.
func (l *lru[K, V]) add(k K, limit int) *V {
	if v := l.get(k); v != nil {
		return v
	}
	if l.items == nil {
		l.items = make(map[K]*list.Element)
	}
	added := &entry[K, V]{key: k}
	l.items[k] = l.order.PushFront(added)
	for len(l.items) > limit {
		delete(l.items, l.order.Remove(l.order.Back()).(*entry[K, V]).key)
	}
	return &added.value
}
