/**
 * Decisions as deterministic state machines, which receive events and the time and return decisions.
 *
 * <p>Nothing below this package uses threads, sockets, clocks, logs or random sources of its own.
 */
package io.cranberryarch.decision;
