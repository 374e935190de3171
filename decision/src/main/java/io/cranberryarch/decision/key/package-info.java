/** Keys of client accounts that were withdrawn. */
package io.cranberryarch.decision.key;
