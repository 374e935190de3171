/** The report about a day: what is computed from the counts, and its text and HTML page. */
package io.cranberryarch.operator.report;
