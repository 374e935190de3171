/** Leases in rows of the platform's table, timed by the monotonic clock of each process. */
package io.cranberryarch.decision.lease;
