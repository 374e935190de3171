/** The choice of an instance for a call. */
package io.cranberryarch.decision.routing;
