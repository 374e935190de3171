/** Budgets for retries. */
package io.cranberryarch.decision.retry;
