/** The node on a hosted platform: it receives and forwards requests, and limits the load of its upstream. */
package io.cranberryarch.mesh;
