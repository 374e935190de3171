/** The versions of the shared settings at one node. */
package io.cranberryarch.decision.config;
