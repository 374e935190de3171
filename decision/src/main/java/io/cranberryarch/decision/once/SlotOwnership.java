package io.cranberryarch.decision.once;

/**
 * The current ownership of a slot of keys by this process.
 *
 * @param isFirst whether the slot never had another owner
 * @param sinceMs monotonic time in milliseconds when the ownership began
 * @param sinceWallMs time of day in milliseconds when the ownership began
 */
public record SlotOwnership(boolean isFirst, long sinceMs, long sinceWallMs) {}
