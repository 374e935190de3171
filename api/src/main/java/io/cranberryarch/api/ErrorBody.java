package io.cranberryarch.api;

import java.util.List;

/**
 * Why a request of an operator failed.
 *
 * @param error a machine-readable reason
 * @param details one sentence for each fault
 */
public record ErrorBody(String error, List<String> details) {}
