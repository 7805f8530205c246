package idem

import (
	"container/list"
	"sync"
	"time"
)

// answerCache bounds the kept answers of all shards by size and age. Answers
// leave in the order in which their requests ended.
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

// add keeps e's answer and drops older ones until the bound holds.
func (c *answerCache) add(s *shard, e *entry, expires time.Time) {
	c.mu.Lock()
	c.oldest.PushBack(keptAnswer{shard: s, entry: e, expires: expires})
	c.size += e.cost
	dropped := c.take(func(k keptAnswer) bool { return c.size > c.limit })
	c.mu.Unlock()
	drop(dropped)
}

// expire drops answers whose retention is over.
func (c *answerCache) expire(now time.Time) {
	c.mu.Lock()
	dropped := c.take(func(k keptAnswer) bool { return !now.Before(k.expires) })
	c.mu.Unlock()
	drop(dropped)
}

// forget removes every answer of s.
func (c *answerCache) forget(s *shard) {
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

// take removes answers from the front while the condition holds.
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

// drop runs without the cache's lock: a shard takes its own lock first and the
// cache's second, never the other way round.
func drop(dropped []keptAnswer) {
	for _, k := range dropped {
		k.shard.drop(k.entry)
	}
}
