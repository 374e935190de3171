/** Selection of instances for calls. */
package io.cranberryarch.decision.routing;
