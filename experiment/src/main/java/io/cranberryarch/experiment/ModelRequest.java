package io.cranberryarch.experiment;

import io.cranberryarch.settings.Priority;

/**
 * One attempt of a caller, or a call nested in it.
 *
 * @param account the client account
 * @param priority the priority
 * @param level the admission level
 * @param isNested whether another call of the same request is already running
 */
record ModelRequest(AccountSpec account, Priority priority, int level, boolean isNested) {

    ModelRequest toNested() {
        return new ModelRequest(account, priority, level, true);
    }
}
