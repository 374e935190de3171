/** The process beside each upstream: its parts, how they are put together, started and stopped. */
package io.cranberryarch.node;
