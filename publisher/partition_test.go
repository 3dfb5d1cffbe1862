package publisher

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/redwingshunt/redwingshunt"
)

// commitAt makes some voters apply a revision.
func (f *fleet) commitAt(revision redwingshunt.Revision, ids ...redwingshunt.InstanceID) {
	for _, id := range ids {
		f.step(id, Accepted{State: state(revision, accounts)})
	}
}

// TestRegionOfPartitionedVoter partitions the only voter of a region from the other
// voters. All other instances reach both sides, so the rest of the region must
// still get the new revision, even if the push of the leader is lost.
func TestRegionOfPartitionedVoter(t *testing.T) {
	tests := map[string]struct {
		lost   time.Duration // time for which no message crosses regions
		within time.Duration
	}{
		"pushed": {within: time.Second},
		"asked":  {lost: time.Second, within: 2 * staleAge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 9, 3) // n001 is the only voter of the south
			f.commit(1)
			f.run(10 * time.Second)
			voters := redwingshunt.NewSet[redwingshunt.InstanceID]("n000", "n001", "n002")
			betweenVoters := func(from, to redwingshunt.InstanceID) bool {
				return voters.Has(from) && voters.Has(to) && (from == "n001" || to == "n001")
			}
			f.cut = betweenVoters
			f.run(3 * time.Second)
			if test.lost > 0 {
				f.cut = func(from, to redwingshunt.InstanceID) bool {
					return betweenVoters(from, to) || f.region(from) != f.region(to)
				}
			}
			f.commitAt(2, "n000", "n002")
			f.run(test.lost)
			f.cut = betweenVoters
			f.run(test.within)
			is.True(f.countInForce(2) >= 8) // all instances except possibly the partitioned voter
		})
	}
}
