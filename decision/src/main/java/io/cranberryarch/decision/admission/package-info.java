/** Admission control of calls to an upstream. */
package io.cranberryarch.decision.admission;
