/** The report on a day: its computation from the counts of requests, and its text and HTML formats. */
package io.cranberryarch.operator.report;
