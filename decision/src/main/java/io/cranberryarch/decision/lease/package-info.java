/** Leases in rows of the platform's table, judged on the monotonic clock of each party. */
package io.cranberryarch.decision.lease;
