package io.cranberryarch.experiment;

import io.cranberryarch.settings.Priority;

/**
 * One attempt of a caller.
 *
 * @param account the client account
 * @param priority the priority
 * @param level the admission level
 */
record ModelRequest(AccountSpec account, Priority priority, int level) {}
