/** Keeps client accounts within their rates across the fleet. */
package io.cranberryarch.node.rate;
