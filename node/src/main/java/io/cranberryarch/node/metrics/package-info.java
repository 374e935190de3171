/** Metrics of this node for scrapers and operators. */
package io.cranberryarch.node.metrics;
