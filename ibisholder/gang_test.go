package ibisholder

import (
	"testing"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiswire"
)

func TestEachIndexBelongsToOneOwner(t *testing.T) {
	places := dedupeIndexes(map[string][]ibiswire.Place{
		"a": {{Index: 1, Server: "s1"}, {Index: 2, Server: "s2"}},
		"b": {{Index: 2, Server: "s3"}, {Index: 3, Server: "s3"}},
		"c": {{Index: 3, Server: "s4"}},
	})
	assert.DeepEqual(t, places, map[string][]ibiswire.Place{
		"a": {{Index: 1, Server: "s1"}, {Index: 2, Server: "s2"}},
		"b": {{Index: 3, Server: "s3"}},
	})
	g := &gathering{places: places}
	assert.Equal(t, g.count(), 3)
}
