/** Members of the fleet and their states. */
package io.cranberryarch.decision.membership;
