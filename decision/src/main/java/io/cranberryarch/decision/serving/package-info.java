/** Decisions on requests of a hosted platform: instance selection, load shedding, quotas, repeats and call trees. */
package io.cranberryarch.decision.serving;
