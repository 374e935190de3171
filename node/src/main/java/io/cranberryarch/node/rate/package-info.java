/** Enforcement of the rates of client accounts across the fleet. */
package io.cranberryarch.node.rate;
