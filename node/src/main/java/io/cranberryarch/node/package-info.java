/** The sidecar process of an upstream: creation, start and stop of its components. */
package io.cranberryarch.node;
