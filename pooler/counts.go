package pooler

import "math"

const (
	// Buckets is the number of counts of a class: one for ratios below smallestRatio,
	// bucketsPerDoubling for each doubling up to largestRatio, and one for larger ones.
	Buckets = 38
	// bucketsPerDoubling sets the precision: a bucket is 19% wide.
	bucketsPerDoubling = 4
	smallestRatio      = 0.125
	// pointsPerBucket is the number of ratios over which the times of a bucket are spread,
	// as if they were distributed evenly. All at one end would move a quantile by up to 19%.
	pointsPerBucket = 4
)

// Counts are the numbers of times of a class by ratio to their predictions.
type Counts [Buckets]uint32

// Record counts a number of times by their ratio to the prediction.
func (c *Counts) Record(ratio float64, times uint32) {
	bucket := 0
	if ratio >= smallestRatio {
		bucket = int(min(1+bucketsPerDoubling*math.Log2(ratio/smallestRatio), Buckets-1))
	}
	c[bucket] += times
}

// Add adds up counts.
func (c *Counts) Add(other *Counts) {
	for i := range c {
		c[i] += other[i]
	}
}

// subtract is the reverse of Add.
func (c *Counts) subtract(other *Counts) {
	for i := range c {
		c[i] -= other[i]
	}
}

// Total returns the number of times.
func (c *Counts) Total() int64 {
	total := int64(0)
	for _, n := range c {
		total += int64(n)
	}
	return total
}

// limit scales counts down to at most the given total, with the same quantiles.
func (c *Counts) limit(most int64) {
	total := c.Total()
	if total <= most {
		return
	}
	sum, before := int64(0), int64(0)
	for i, n := range c {
		sum += int64(n)
		scaled := (sum*most + total/2) / total
		c[i] = uint32(scaled - before)
		before = scaled
	}
}

// Points calls a function with ratios and the numbers of times at them.
func (c *Counts) Points(call func(ratio float64, n int64)) {
	for i, n := range c {
		if n == 0 {
			continue
		}
		if i == 0 || i == Buckets-1 { // has no other end
			call(smallestRatio*math.Exp2(max(float64(i)-1, 0)/bucketsPerDoubling), int64(n))
			continue
		}
		before := int64(0)
		for point := range int64(pointsPerBucket) {
			upTo := (int64(n)*(point+1) + pointsPerBucket/2) / pointsPerBucket
			exponent := float64(i-1) + (float64(point)+0.5)/pointsPerBucket
			if upTo > before {
				call(smallestRatio*math.Exp2(exponent/bucketsPerDoubling), upTo-before)
			}
			before = upTo
		}
	}
}
