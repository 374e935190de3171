/** The exchange of members between nodes. */
package io.cranberryarch.node.member;
