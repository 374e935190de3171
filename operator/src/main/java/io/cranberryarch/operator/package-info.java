/** The operators' command line: settings, accounts, keys, routes, status, drain and the report. */
package io.cranberryarch.operator;
