/** The event loop of a process, its TCP connections, and HTTP/1.1 over them on Jetty's parser. */
package io.cranberryarch.net;
