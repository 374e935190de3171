/** Bodies of the requests and responses of the administration interface. */
package io.cranberryarch.api;
