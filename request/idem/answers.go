package idem

import (
	"container/list"
	"sync"
	"time"
)

// answerCache bounds the kept answers of all shards by size and age. Answers
// are evicted in the order in which their requests completed.
type answerCache struct {
	mu     sync.Mutex
	limit  int
	size   int
	oldest *list.List // of keptAnswer
}

// keptAnswer is an entry of a shard whose answer is kept until it expires.
type keptAnswer struct {
	shard   *shard
	entry   *entry
	expires time.Time
}

func (c *answerCache) init(limit int) {
	c.limit = limit
	c.oldest = list.New()
}

// add keeps e's answer and evicts older ones until the size limit holds.
func (c *answerCache) add(s *shard, e *entry, expires time.Time) {
	c.mu.Lock()
	c.oldest.PushBack(keptAnswer{shard: s, entry: e, expires: expires})
	c.size += e.cost
	evicted := c.take(func(k keptAnswer) bool { return c.size > c.limit })
	c.mu.Unlock()
	evict(evicted)
}

// expire evicts answers whose retention has expired.
func (c *answerCache) expire(now time.Time) {
	c.mu.Lock()
	evicted := c.take(func(k keptAnswer) bool { return !now.Before(k.expires) })
	c.mu.Unlock()
	evict(evicted)
}

// removeShard removes all answers of s.
func (c *answerCache) removeShard(s *shard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for el := c.oldest.Front(); el != nil; {
		next := el.Next()
		if k := el.Value.(keptAnswer); k.shard == s {
			c.size -= k.entry.cost
			c.oldest.Remove(el)
		}
		el = next
	}
}

// take removes and returns the oldest answers while the condition holds.
func (c *answerCache) take(cond func(keptAnswer) bool) []keptAnswer {
	var out []keptAnswer
	for el := c.oldest.Front(); el != nil; el = c.oldest.Front() {
		k := el.Value.(keptAnswer)
		if !cond(k) {
			break
		}
		c.size -= k.entry.cost
		c.oldest.Remove(el)
		out = append(out, k)
	}
	return out
}

// evict removes the entries from their shards. It must be called without the
// cache's lock: the lock order is shard first, cache second.
func evict(evicted []keptAnswer) {
	for _, k := range evicted {
		k.shard.evict(k.entry)
	}
}
