/** Shared settings addressed by paths, their validation, and the INI file of a process. */
package io.cranberryarch.settings;
