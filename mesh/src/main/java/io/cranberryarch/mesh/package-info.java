/** The node on a hosted platform: it receives requests, forwards them, and guards the upstream on its machine. */
package io.cranberryarch.mesh;
