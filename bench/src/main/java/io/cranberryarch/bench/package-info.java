/** Benchmarks of decisions, added latency, the cost of the control plane, memory usage and the daily report. */
package io.cranberryarch.bench;
