package io.cranberryarch.api;

import java.util.List;

/**
 * Outcomes of callers' requests in one increment of one node, or summed over many.
 *
 * @param rows one row for each client account, kind and outcome
 */
public record CountsBody(List<Row> rows) {

    /**
     * A count.
     *
     * @param account the client account, empty on routes open to all
     * @param kind the kind of request
     * @param zone the availability zone of the entry
     * @param outcome the outcome
     * @param count the number of requests
     */
    public record Row(String account, String kind, String zone, String outcome, long count) {}
}
