package ibisowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ibiscrank/ibiswire"
	"ibiscrank/ibiswork"
)

// gangRequest requests places for some tasks of a gang of 40.
func gangRequest(id ibiswork.ID, epoch int64, indexes ...int) *ibiswire.PlaceRequest {
	return &ibiswire.PlaceRequest{
		From:    ibiswire.Holder{Shard: id.Shard(testShards), Epoch: epoch},
		Request: ibiswork.Request{ID: id, Team: testTeam, Class: ibiswork.Gang, Idempotent: true, Resources: testSize, Tasks: 40},
		Attempt: 1, Intent: true, Partial: true, Indexes: indexes,
	}
}

func TestConcurrentPartialCallsOfOneGang(t *testing.T) {
	o, ledger := newTestOwner(t, &serverFake{})
	do(t, o, func() { claimServer(o, 1) })
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 20 {
				_, err := o.Place(context.Background(), gangRequest(testID(1), 1, (i+n)%8))
				assert.Check(t, err == nil, err)
			}
		}()
	}
	wg.Wait()
	do(t, o, func() {
		o.round(time.Now()) // freed places are assigned in rounds
		assert.Equal(t, len(o.tasks), 1, "only the places of the last call are kept")
		assert.Equal(t, ledger.used[testTeam], testSize)
		o.raiseEpoch(testID(1).Shard(testShards), 2)
		assert.Equal(t, len(o.tasks), 0)
		assert.Equal(t, o.queue.Len(), 0)
		assert.Assert(t, ledger.used[testTeam].IsZero())
	})
}

func TestOlderGangPreemptsYoungerGang(t *testing.T) {
	o, ledger := newTestOwner(t, &serverFake{})
	do(t, o, func() { claimServer(o, 1) })
	older, younger := testID(1), testID(2)
	place := func(id ibiswork.ID, pin bool, indexes ...int) (*ibiswire.PlaceReply, error) {
		req := gangRequest(id, 1, indexes...)
		req.Pin = pin
		return o.Place(context.Background(), req)
	}
	reply, err := place(younger, false, 0, 1, 2, 3, 4, 5)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Places), 6)
	reply, err = place(older, false, 0, 1, 2, 3)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Places), 4, "the older gang has all requested places")
	_, err = place(younger, false, 0, 1, 2, 3, 4, 5)
	assert.NilError(t, err)
	do(t, o, func() { o.round(time.Now()) }) // freed places are assigned in rounds
	reply, err = place(younger, false, 0, 1, 2, 3, 4, 5)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, ibiswire.Waiting)
	assert.Equal(t, len(reply.Places), 4, "the younger gang has the remaining places")
	reply, err = place(younger, true, 0, 1, 2, 3)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, ibiswire.Reserved)
	reply, err = place(older, false, 0, 1, 2, 3, 4, 5)
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Places), 4, "pinned places are not preempted")
	do(t, o, func() {
		for _, p := range o.placements {
			o.dropPlacement(p, nil)
			o.dropPlacement(p, nil)
		}
		assert.Equal(t, len(o.tasks)+len(o.placements)+o.queue.Len(), 0)
		assert.Assert(t, ledger.used[testTeam].IsZero())
	})
}

// After a lost reply the holder may request the same index from another owner. An index that it no longer
// requests here must not be started here.
func TestUnrequestedIndexesAreReleased(t *testing.T) {
	o, ledger := newTestOwner(t, &serverFake{})
	do(t, o, func() { claimServer(o, 1) })
	_, err := o.Place(context.Background(), gangRequest(testID(1), 1, 1, 2))
	assert.NilError(t, err)
	reply, err := o.Place(context.Background(), gangRequest(testID(1), 1, 1))
	assert.NilError(t, err)
	assert.Equal(t, reply.State, ibiswire.Reserved)
	assert.DeepEqual(t, reply.Places, []ibiswire.Place{{Index: 1, Server: testServer}})
	do(t, o, func() {
		assert.Equal(t, len(o.tasks), 1)
		assert.Equal(t, ledger.used[testTeam], testSize)
	})
	from := ibiswire.Holder{Shard: testID(1).Shard(testShards), Epoch: 1}
	started, err := o.Start(context.Background(), &ibiswire.StartRequest{From: from, ID: testID(1), Attempt: 1, Indexes: []int{1, 2}})
	assert.NilError(t, err)
	assert.Assert(t, started.NotStarted, "the owner's places differ from those that the holder expects")
}
