/** Benchmarks: decisions, the latency that nodes add, what control costs, and the memory of a node. */
package io.cranberryarch.bench;
