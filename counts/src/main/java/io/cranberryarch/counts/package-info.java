/** Counts of outcomes: increments that nodes write to the object store, and their sums over a day. */
package io.cranberryarch.counts;
