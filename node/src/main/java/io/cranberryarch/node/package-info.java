/** The process that runs beside an upstream: creation, start and stop of its components. */
package io.cranberryarch.node;
