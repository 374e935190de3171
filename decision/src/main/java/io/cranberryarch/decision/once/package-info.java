/** Execution of non-idempotent calls at most once. */
package io.cranberryarch.decision.once;
