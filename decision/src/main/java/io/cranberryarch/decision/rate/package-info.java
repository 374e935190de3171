/** Rates and bursts of client accounts. */
package io.cranberryarch.decision.rate;
