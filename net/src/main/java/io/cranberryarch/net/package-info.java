/** An event loop with TCP connections, and an HTTP/1.1 client and server on it that use Jetty's parser. */
package io.cranberryarch.net;
