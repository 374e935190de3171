/** Stand-ins for the platform, an upstream and callers, for tests and the quick start. */
package io.cranberryarch.standin;
