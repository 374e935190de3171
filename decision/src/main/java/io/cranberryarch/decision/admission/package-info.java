/** Admission of calls in front of an upstream. */
package io.cranberryarch.decision.admission;
