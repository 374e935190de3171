/** Cranberryarch bench: benchmarks and experiments. */
package io.cranberryarch.bench;
