package io.cranberryarch.api;

import java.util.List;

/**
 * The body of an error response to an operator.
 *
 * @param error a machine-readable reason
 * @param details one sentence for each error
 */
public record ErrorBody(String error, List<String> details) {}
