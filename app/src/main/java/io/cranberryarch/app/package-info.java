/** The single executable: the root command and the node subcommand. */
package io.cranberryarch.app;
