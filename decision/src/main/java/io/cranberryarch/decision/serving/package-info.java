/** Decisions on requests of a hosted platform: instances, admission, shedding, quotas, repeats and call trees. */
package io.cranberryarch.decision.serving;
