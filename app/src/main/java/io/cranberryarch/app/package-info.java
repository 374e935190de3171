/** The single executable: the root command, the commands that run a node, and the report on a hosted platform's day. */
package io.cranberryarch.app;
