/** Cranberryarch api: bodies of the administration interface. */
package io.cranberryarch.api;
